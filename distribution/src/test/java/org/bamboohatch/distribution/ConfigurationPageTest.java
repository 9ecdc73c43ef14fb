package org.bamboohatch.distribution;

import java.io.IOException;
import java.nio.file.Files;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationPageTest {

    @Test
    void pageIsUpToDate() throws IOException {
        assertThat(Files.readString(ConfigurationPage.PAGE)).isEqualTo(ConfigurationPage.render());
    }
}
