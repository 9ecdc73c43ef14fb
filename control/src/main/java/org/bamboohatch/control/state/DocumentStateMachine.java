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

/**
 * State machine of the service documents. A change is applied only if its base revision is the current revision of the
 * document.
 */
public final class DocumentStateMachine {

    /** Maximum number of revisions retained of each document. */
    static final int MAX_HISTORY = 32;

    /** Maximum number of answers that are retained, so that a resent change gets the first answer. */
    static final int MAX_CHANGES = 10_000;

    /** Retained revisions by service, the latest last. */
    private final TreeMap<ServiceName, List<DocumentVersion>> documents = new TreeMap<>();

    /** Retained answers by the id of the change, the oldest first. */
    private final LinkedHashMap<String, Answer> answers = new LinkedHashMap<>();

    /** Latest revision of any document; revisions are numbered across all documents. */
    private long lastRevision;

    /** Creates a state machine without documents. */
    public DocumentStateMachine() {}

    /**
     * The first answer to a change.
     *
     * @param changeId id of the change
     * @param content hash of the service name and the document text
     * @param applied whether the change was applied, rather than in conflict with another
     * @param revision revision that the change created or, after a conflict, the current revision of the document
     * @param winner id of the change that created the revision, empty if it is no longer retained
     */
    public record Answer(String changeId, int content, boolean applied, long revision, String winner) {}

    /**
     * State in a snapshot.
     *
     * @param lastRevision latest revision of any document
     * @param versions all retained revisions, those of one document in order
     * @param answers the retained answers, the oldest first
     */
    public record State(long lastRevision, List<DocumentVersion> versions, List<Answer> answers) {}

    /**
     * Applies a change, or repeats the first answer if the change is resent.
     *
     * @param request the change of a document
     * @return {@link Applied}, or {@link Conflict} if the base revision is not the current one or if the id was used
     *     for a change with other content
     */
    public ControlReply apply(ApplyDocument request) {
        int content = (request.service() + "\n" + request.text()).hashCode();
        Answer first = answers.get(request.changeId());
        if (first != null) {
            boolean same = first.content() == content;
            return same ? toReply(first) : new Conflict(first.revision(), request.changeId());
        }
        Answer answer = applyNew(request, content);
        answers.put(request.changeId(), answer);
        if (answers.size() > MAX_CHANGES) {
            answers.remove(answers.keySet().iterator().next());
        }
        return toReply(answer);
    }

    /**
     * Applies a change whose id is not among the retained answers.
     *
     * @param request the change of a document
     * @param content hash of the service name and the document text
     * @return the answer to retain
     */
    private Answer applyNew(ApplyDocument request, int content) {
        long currentRevision =
                latest(request.service()).map(DocumentVersion::revision).orElse(0L);
        if (currentRevision != request.baseRevision()) {
            return new Answer(request.changeId(), content, false, currentRevision, findChangeId(currentRevision));
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
     * Finds the change that created a revision.
     *
     * @param revision the revision
     * @return the id of the change, or an empty string if its answer is no longer retained
     */
    private String findChangeId(long revision) {
        return answers.values().stream()
                .filter(answer -> answer.applied() && answer.revision() == revision)
                .map(Answer::changeId)
                .findFirst()
                .orElse("");
    }

    private static ControlReply toReply(Answer answer) {
        return answer.applied() ? new Applied(answer.revision()) : new Conflict(answer.revision(), answer.winner());
    }

    /**
     * Returns the latest revision of a document.
     *
     * @param service name of the service
     * @return the revision, or an empty value if the service has no document
     */
    public Optional<DocumentVersion> latest(ServiceName service) {
        List<DocumentVersion> history = documents.get(service);
        return history == null ? Optional.empty() : Optional.of(history.get(history.size() - 1));
    }

    /**
     * Returns the retained revisions of a document.
     *
     * @param service name of the service
     * @return the revisions, the latest last; empty if the service has no document
     */
    public List<DocumentVersion> history(ServiceName service) {
        return List.copyOf(documents.getOrDefault(service, List.of()));
    }

    /**
     * Returns the latest revision of each document that changed after the given revision.
     *
     * @param revision the revision
     * @return the documents, sorted by revision
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
     * @return the revision, zero if there are no documents
     */
    public long lastRevision() {
        return lastRevision;
    }

    /**
     * Returns the services that have a document.
     *
     * @return each service with the latest revision of its document, sorted by name
     */
    public List<ServiceRevision> services() {
        return documents.keySet().stream()
                .map(service -> new ServiceRevision(
                        service, latest(service).orElseThrow().revision()))
                .toList();
    }

    /**
     * Returns the state for a snapshot.
     *
     * @return a copy of the state
     */
    public State state() {
        List<DocumentVersion> versions =
                documents.values().stream().flatMap(List::stream).toList();
        return new State(lastRevision, versions, List.copyOf(answers.values()));
    }

    /**
     * Replaces the state with that of a snapshot.
     *
     * @param state the state to restore
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
