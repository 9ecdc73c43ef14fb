package org.bamboohatch.kernel.settings;

/**
 * One error in a YAML file.
 *
 * @param file name of the file
 * @param line line number, starting at 1, or 0 if it is unknown
 * @param path path of the key, such as {@code accounts[0].weight}; empty if the error concerns the whole file
 * @param sentence what is wrong and what is allowed
 */
public record SettingsError(String file, int line, String path, String sentence) {

    @Override
    public String toString() {
        return file + ":" + line + ": " + path + ": " + sentence;
    }
}
