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

    /** Excludes test classes, wherever the build puts them. */
    static final class MainClasses implements ImportOption {

        @Override
        public boolean includes(Location location) {
            return !location.contains("/test-classes/");
        }
    }

    @ArchTest
    static final ArchRule DECISION_CODE_USES_NO_CLOCKS_THREADS_FILES_OR_SOCKETS = noClasses()
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
    static final ArchRule REPLICATION_DOES_NOT_DEPEND_ON_CONTROL = noClasses()
            .that()
            .resideInAPackage("org.bamboohatch.replication..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.bamboohatch.control..");

    @ArchTest
    static final ArchRule KERNEL_DOES_NOT_DEPEND_ON_MODULES_ABOVE_IT = noClasses()
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
    static final ArchRule PROGRAMS_DO_NOT_DEPEND_ON_EACH_OTHER = slices().matching(
                    "org.bamboohatch.(entry|agent|control|gateway|standin)..")
            .should()
            .notDependOnEachOther();

    @ArchTest
    static final ArchRule NO_MODULE_DEPENDS_ON_PLATFORM = noClasses()
            .that()
            .resideOutsideOfPackage("org.bamboohatch.platform..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.bamboohatch.platform..");

    @ArchTest
    static final ArchRule MAIN_CODE_STARTS_NO_PROCESSES = noClasses()
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.ProcessBuilder")
            .orShould()
            .callMethod(Runtime.class, "exec", String.class);
}
