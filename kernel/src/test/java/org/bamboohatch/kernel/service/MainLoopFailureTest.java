package org.bamboohatch.kernel.service;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a process that runs on after its main loop has ended by an error, so that nothing decides any more. */
@Timeout(60)
class MainLoopFailureTest {

    /** Program with a main loop that fails and a thread that keeps the process. */
    static final class FailingProgram {

        private FailingProgram() {}

        /**
         * Starts the program.
         *
         * @param arguments class name of the error
         */
        public static void main(String[] arguments) {
            new Thread(Invariant.guard(() -> {
                        if (arguments[0].equals(OutOfMemoryError.class.getName())) {
                            throw new OutOfMemoryError("Java heap space");
                        }
                        throw new IllegalStateException("unexpected");
                    }))
                    .start();
            // Daemon threads do not keep a process; this thread does, as the network threads of a program do.
            LockSupport.park();
        }
    }

    private static int exitStatus(Class<? extends Throwable> failure) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        FailingProgram.class.getName(),
                        failure.getName())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            return process.waitFor();
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void aLackOfMemoryInAMainLoopEndsTheProcess() throws Exception {
        assertThat(exitStatus(OutOfMemoryError.class)).isEqualTo(Invariant.EXIT_STATUS);
    }

    @Test
    void anExceptionInAMainLoopEndsTheProcess() throws Exception {
        assertThat(exitStatus(IllegalStateException.class)).isEqualTo(Invariant.EXIT_STATUS);
    }
}
