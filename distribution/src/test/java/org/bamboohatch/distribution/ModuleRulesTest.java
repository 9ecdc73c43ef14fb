package org.bamboohatch.distribution;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.core.importer.Location;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

@AnalyzeClasses(packages = "org.bamboohatch", importOptions = ModuleRulesTest.MainClasses.class)
class ModuleRulesTest {

    /** Leaves out the classes of tests, wherever the build puts them. */
    static final class MainClasses implements ImportOption {

        @Override
        public boolean includes(Location location) {
            return !location.contains("/test-classes/");
        }
    }

    @ArchTest
    static final ArchRule DECISIONS_HAVE_NO_CLOCKS_THREADS_FILES_OR_SOCKETS = noClasses()
            .that()
            .resideInAnyPackage(
                    "org.bamboohatch.routing..",
                    "org.bamboohatch.replication.consensus..",
                    "org.bamboohatch.control.state..",
                    "org.bamboohatch.control.membership..",
                    "org.bamboohatch.control.placement..",
                    "org.bamboohatch.agent.capacity..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.net..", "java.nio.file..", "java.util.concurrent..", "io.netty..", "org.eclipse.jetty..")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis");

    @ArchTest
    static final ArchRule THE_LOG_DOES_NOT_KNOW_WHAT_IT_CARRIES = noClasses()
            .that()
            .resideInAPackage("org.bamboohatch.replication..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.bamboohatch.control..");

    @ArchTest
    static final ArchRule THE_KERNEL_DEPENDS_ON_NO_OTHER_MODULE = noClasses()
            .that()
            .resideInAPackage("org.bamboohatch.kernel..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.bamboohatch.document..",
                    "org.bamboohatch.protocol..",
                    "org.bamboohatch.routing..",
                    "org.bamboohatch.entry..",
                    "org.bamboohatch.agent..",
                    "org.bamboohatch.control..");

    @ArchTest
    static final ArchRule THE_PROGRAMS_DO_NOT_KNOW_EACH_OTHER = slices().matching(
                    "org.bamboohatch.(entry|agent|control|gateway|standin)..")
            .should()
            .notDependOnEachOther();

    @ArchTest
    static final ArchRule NOTHING_DEPENDS_ON_THE_PLATFORM = noClasses()
            .that()
            .resideOutsideOfPackage("org.bamboohatch.platform..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.bamboohatch.platform..");

    @ArchTest
    static final ArchRule NO_PROCESS_STARTS_A_PROCESS = noClasses()
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.ProcessBuilder")
            .orShould()
            .callMethod(Runtime.class, "exec", String.class);
}
