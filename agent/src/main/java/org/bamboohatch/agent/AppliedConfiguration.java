package org.bamboohatch.agent;

/**
 * The configuration that an agent applies.
 *
 * @param revision the latest revision of any document that the agent knows
 * @param documentRevision the revision of the document of its own service
 */
public record AppliedConfiguration(long revision, long documentRevision) {

    /** The configuration of an agent that knows none. */
    public static final AppliedConfiguration NONE = new AppliedConfiguration(0, 0);

    /**
     * Goes on to a configuration; nothing goes back.
     *
     * @param next the configuration
     * @return the later of both, part by part
     */
    public AppliedConfiguration advance(AppliedConfiguration next) {
        return new AppliedConfiguration(
                Math.max(revision, next.revision()), Math.max(documentRevision, next.documentRevision()));
    }
}
