package org.bamboohatch.kernel.settings;

/**
 * One error in a YAML file.
 *
 * @param file name of the file
 * @param line line, counted from one
 * @param path path of the key, such as {@code accounts[0].weight}
 * @param sentence what is wrong and what is allowed
 */
public record SettingsError(String file, int line, String path, String sentence) {

    @Override
    public String toString() {
        return file + ":" + line + ": " + path + ": " + sentence;
    }
}
