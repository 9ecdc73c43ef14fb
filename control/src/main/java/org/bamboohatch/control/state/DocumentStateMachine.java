package org.bamboohatch.control.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Applied;
import org.bamboohatch.protocol.message.ControlReply.Conflict;
import org.bamboohatch.protocol.message.ControlReply.ServiceRevision;
import org.bamboohatch.protocol.message.ControlRequest.ApplyDocument;
import org.bamboohatch.protocol.message.DocumentVersion;

/** The service documents; a change succeeds only if it was made from the present revision. */
public final class DocumentStateMachine {

    /** Revisions kept of each document. */
    static final int MAX_HISTORY = 32;

    /** Answered changes that are remembered, so that a resend gets the first answer. */
    static final int MAX_CHANGES = 10_000;

    /** Revisions by service, the latest last. */
    private final TreeMap<ServiceName, List<DocumentVersion>> documents = new TreeMap<>();

    /** Answers by change, the oldest first. */
    private final LinkedHashMap<String, Answer> answers = new LinkedHashMap<>();

    /** The latest revision of any document. */
    private long lastRevision;

    /** Creates an empty set of documents. */
    public DocumentStateMachine() {}

    /**
     * The first answer to a change.
     *
     * @param changeId the change
     * @param content hash of the service and text
     * @param applied whether the change was applied
     * @param revision the revision that the change made or met
     * @param winner the change that made the met revision
     */
    public record Answer(String changeId, int content, boolean applied, long revision, String winner) {}

    /**
     * All documents in a snapshot.
     *
     * @param lastRevision the latest revision
     * @param versions all kept revisions
     * @param answers the remembered answers, the oldest first
     */
    public record State(long lastRevision, List<DocumentVersion> versions, List<Answer> answers) {}

    /**
     * Decides a change.
     *
     * @param request the change
     * @return applied or conflict
     */
    public ControlReply apply(ApplyDocument request) {
        int content = (request.service() + "\n" + request.text()).hashCode();
        Answer first = answers.get(request.changeId());
        if (first != null) {
            boolean same = first.content() == content;
            return same ? reply(first) : new Conflict(first.revision(), request.changeId());
        }
        Answer answer = decide(request, content);
        answers.put(request.changeId(), answer);
        if (answers.size() > MAX_CHANGES) {
            answers.remove(answers.keySet().iterator().next());
        }
        return reply(answer);
    }

    /**
     * Decides a change that was not seen before.
     *
     * @param request the change
     * @param content hash of the service and text
     * @return the answer
     */
    private Answer decide(ApplyDocument request, int content) {
        long present = latest(request.service()).map(DocumentVersion::revision).orElse(0L);
        if (present != request.baseRevision()) {
            return new Answer(request.changeId(), content, false, present, makerOf(present));
        }
        lastRevision++;
        List<DocumentVersion> history = documents.computeIfAbsent(request.service(), added -> new ArrayList<>());
        history.add(new DocumentVersion(request.service(), lastRevision, request.text()));
        if (history.size() > MAX_HISTORY) {
            history.remove(0);
        }
        return new Answer(request.changeId(), content, true, lastRevision, request.changeId());
    }

    /**
     * Finds the change that made a revision.
     *
     * @param revision the revision
     * @return the change, or an empty text if it is forgotten
     */
    private String makerOf(long revision) {
        return answers.values().stream()
                .filter(answer -> answer.applied() && answer.revision() == revision)
                .map(Answer::changeId)
                .findFirst()
                .orElse("");
    }

    /**
     * Renders an answer.
     *
     * @param answer the answer
     * @return the reply
     */
    private static ControlReply reply(Answer answer) {
        return answer.applied() ? new Applied(answer.revision()) : new Conflict(answer.revision(), answer.winner());
    }

    /**
     * Returns the latest revision of a document.
     *
     * @param service the service
     * @return the revision, if there is a document
     */
    public Optional<DocumentVersion> latest(ServiceName service) {
        List<DocumentVersion> history = documents.get(service);
        return history == null ? Optional.empty() : Optional.of(history.get(history.size() - 1));
    }

    /**
     * Returns the kept revisions of a document.
     *
     * @param service the service
     * @return the revisions, the latest last
     */
    public List<DocumentVersion> history(ServiceName service) {
        return List.copyOf(documents.getOrDefault(service, List.of()));
    }

    /**
     * Returns the documents that changed after a revision, each in its latest revision.
     *
     * @param revision the revision
     * @return the documents
     */
    public List<DocumentVersion> changedSince(long revision) {
        return documents.keySet().stream()
                .map(service -> latest(service).orElseThrow())
                .filter(version -> version.revision() > revision)
                .sorted(Comparator.comparingLong(DocumentVersion::revision))
                .toList();
    }

    /**
     * Returns the latest revision of any document.
     *
     * @return the revision
     */
    public long lastRevision() {
        return lastRevision;
    }

    /**
     * Lists the services.
     *
     * @return each service with its revision
     */
    public List<ServiceRevision> services() {
        return documents.keySet().stream()
                .map(service -> new ServiceRevision(
                        service, latest(service).orElseThrow().revision()))
                .toList();
    }

    /**
     * Returns the whole state.
     *
     * @return the state
     */
    public State state() {
        List<DocumentVersion> versions =
                documents.values().stream().flatMap(List::stream).toList();
        return new State(lastRevision, versions, List.copyOf(answers.values()));
    }

    /**
     * Replaces the whole state.
     *
     * @param state the state
     */
    public void restore(State state) {
        documents.clear();
        answers.clear();
        for (DocumentVersion version : state.versions()) {
            documents
                    .computeIfAbsent(version.service(), added -> new ArrayList<>())
                    .add(version);
        }
        state.answers().forEach(answer -> answers.put(answer.changeId(), answer));
        lastRevision = state.lastRevision();
    }
}
