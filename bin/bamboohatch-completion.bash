# Bash completion for bamboohatch; source this file.
_bamboohatch() {
  local commands="validate apply get diff history status targets evacuate timeline explain verify-data"
  local options="--control --output --help --version --base --change-id --wait --revision --subject --entries --html --host --request --format --end"
  if [[ ${COMP_WORDS[COMP_CWORD]} == -* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "${COMP_WORDS[COMP_CWORD]}")
  else
    mapfile -t COMPREPLY < <(compgen -f -W "$commands" -- "${COMP_WORDS[COMP_CWORD]}")
  fi
}
complete -F _bamboohatch bamboohatch
