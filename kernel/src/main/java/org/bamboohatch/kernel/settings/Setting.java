package org.bamboohatch.kernel.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes one key of a YAML file, on the record component that the key fills. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Setting {

    /** The fallback of a key that must be given. */
    String REQUIRED = "\u0000required";

    /**
     * Returns what the key means, one sentence without a full stop.
     *
     * @return the description
     */
    String description();

    /**
     * Returns the unit of the value, if it has one.
     *
     * @return the unit or an empty text
     */
    String unit() default "";

    /**
     * Returns the smallest allowed number.
     *
     * @return the lower bound
     */
    double min() default Double.NEGATIVE_INFINITY;

    /**
     * Returns the largest allowed number.
     *
     * @return the upper bound
     */
    double max() default Double.POSITIVE_INFINITY;

    /**
     * Returns the value of a key that is not given, in YAML.
     *
     * @return the default, or {@link #REQUIRED}
     */
    String fallback() default REQUIRED;
}
