package org.bamboohatch.kernel.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes one key of a YAML file. The annotation is placed on the record component that receives the value. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Setting {

    /** Value of {@link #fallback()} for a key without a default. A YAML text cannot contain its null character. */
    String REQUIRED = "\u0000required";

    /**
     * Returns the meaning of the key.
     *
     * @return one sentence without a full stop
     */
    String description();

    /**
     * Returns the unit of the value.
     *
     * @return the unit, empty if the value has none
     */
    String unit() default "";

    /** Returns the smallest allowed number, inclusive. */
    double min() default Double.NEGATIVE_INFINITY;

    /** Returns the largest allowed number, inclusive. */
    double max() default Double.POSITIVE_INFINITY;

    /**
     * Returns the default of the key as YAML.
     *
     * @return the default, or {@link #REQUIRED} if the key must be present
     */
    String fallback() default REQUIRED;
}
