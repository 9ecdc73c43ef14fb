# Settings of the load driver and documents for measurements; sourced by bin/measure.

# Writes a service document with two accounts: number of engines, share of long prompts.
two_account_document() {
  cat >"$run/assistant.yaml" <<YAML
service: assistant
kind: engines
models:
  - {name: glass, version: "1", contextTokens: 1100000, engines: $1}
accounts:
  - {name: first, keyHashes: [$(printf key-1 | sha256sum | cut -d' ' -f1)]}
  - {name: second, keyHashes: [$(printf key-2 | sha256sum | cut -d' ' -f1)]}
deadlines: {defaultSeconds: 60, maximumSeconds: 600}
longShare: ${2:-0.5}
YAML
}

# Prints the shapes of the mix, in which one prompt in fifty has over 100k tokens: whether shapes over 8k are silent.
mix_shapes() {
  cat <<YAML
shapes:
  - {name: to2k, weight: 60, minimumTokens: 1000, maximumTokens: 2000, timeoutSeconds: 60}
  - {name: to8k, weight: 20, minimumTokens: 2001, maximumTokens: 8000, timeoutSeconds: 60}
  - {name: to32k, weight: 14, minimumTokens: 8001, maximumTokens: 32000, timeoutSeconds: 60, silent: $1}
  - {name: to100k, weight: 4, minimumTokens: 32001, maximumTokens: 100000, timeoutSeconds: 120, silent: $1}
  - {name: to1m, weight: 2, minimumTokens: 100001, maximumTokens: 1000000, timeoutSeconds: 300, silent: $1}
YAML
}

# Runs the load driver: name, then the settings on standard input; prints its table.
drive() {
  cat >"$run/load-$1.yaml"
  BAMBOOHATCH_STANDIN_FLAGS="-Xmx2g" "$home/bin/bamboohatch-standin" load --settings "$run/load-$1.yaml" 2>"$run/load-$1.log" |
    tee "$out/$1.txt"
}

# Prints a field of a table of the load driver: file, shape, column number.
field() { awk -v s="$2" -v c="$3" '$1==s{print $c}' "$out/$1.txt"; }

ratio() { awk -v a="$1" -v b="$2" 'BEGIN{if(b>0)printf "%.2f",a/b; else print "-"}'; }
