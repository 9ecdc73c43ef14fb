package org.bamboohatch.agent;

/**
 * The configuration revisions that an agent has applied.
 *
 * @param revision the latest revision of any service document
 * @param documentRevision revision of the document of the agent's service, or zero if the agent has none
 */
public record AppliedConfiguration(long revision, long documentRevision) {

    /** The revisions of an agent that has not received any configuration. */
    public static final AppliedConfiguration NONE = new AppliedConfiguration(0, 0);

    /**
     * Returns a configuration that has advanced to other revisions. Neither revision is ever decreased.
     *
     * @param next the revisions to advance to
     * @return a configuration in which each revision is the later one of both
     */
    public AppliedConfiguration advance(AppliedConfiguration next) {
        return new AppliedConfiguration(
                Math.max(revision, next.revision()), Math.max(documentRevision, next.documentRevision()));
    }
}
