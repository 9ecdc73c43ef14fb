package org.bamboohatch.gateway.target;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.routing.retry.ColdSchedule;

/**
 * This gateway's shares of the rates of cold targets. Each slot of a target's schedule belongs to the gateway that rendezvous
 * hashing selects, so that gateways which know different sets of gateways agree on most slots.
 */
final class ColdShares {

    /** Stands for a slot that is to be determined anew; it lies before all others. */
    private static final long UNKNOWN_SLOT = Long.MIN_VALUE;

    /**
     * Time for which a gateway that is missing from a later list keeps its slots, in milliseconds; control retains a gateway
     * that does not poll for as long. A new leader lists only the gateways that have polled it, so that each of the first
     * ones would otherwise take over the slots of all others.
     */
    static final long RETENTION_MS = 10_000;

    private final Map<TargetIncarnation, Share> shares = new HashMap<>();

    /** Addresses of the gateways, with the time until which each takes part, in milliseconds; no end for those listed. */
    private final Map<String, Long> gateways = new TreeMap<>();

    /** Earliest end of the time for which an unlisted gateway takes part, in milliseconds. */
    private long nextRemovalAt = Long.MAX_VALUE;

    private String ownAddress = "";

    /** Hashes of the addresses of all gateways, in an order that all of them use. */
    private long[] gatewayHashes = {0};

    /** Place of this gateway among them. */
    private int ownPlace;

    /**
     * Share in the rate of one target.
     *
     * @param schedule the schedule that all gateways follow
     * @param targetHash hash of the incarnation
     * @param nextSlot this gateway's next slot, which may have begun
     */
    private record Share(ColdSchedule schedule, long targetHash, long nextSlot) {}

    /**
     * Sets the gateways that share the rates. Those that were listed before take part for the retention time.
     *
     * @param addresses addresses for load reports of all gateways; without this one's, it takes part as well
     * @param own address of this gateway
     * @param now current time, in milliseconds
     */
    void setGateways(List<String> addresses, String own, long now) {
        ownAddress = own;
        gateways.replaceAll((address, until) -> Math.min(until, now + RETENTION_MS));
        addresses.forEach(address -> gateways.put(address, Long.MAX_VALUE));
        gateways.put(own, Long.MAX_VALUE);
        removeUnlisted(now);
    }

    private void removeUnlisted(long now) {
        gateways.values().removeIf(until -> until <= now);
        nextRemovalAt = Collections.min(gateways.values());
        List<String> all = List.copyOf(gateways.keySet());
        gatewayHashes =
                all.stream().mapToLong(Hashing.wyhashFinal4()::hashCharsToLong).toArray();
        ownPlace = all.indexOf(ownAddress);
        shares.replaceAll((target, share) -> new Share(share.schedule(), share.targetHash(), UNKNOWN_SLOT));
    }

    /**
     * Adds a target that is cold, or changes the end of its cold time.
     *
     * @param target the target
     * @param perSecond requests per second that it takes from all gateways together
     * @param endsAt end of the cold time, in milliseconds
     * @param now current time, in milliseconds
     */
    void put(TargetIncarnation target, double perSecond, long endsAt, long now) {
        Share known = shares.get(target);
        if (known == null) {
            long hash = Hashing.wyhashFinal4().hashCharsToLong(target.target().value() + '/' + target.number());
            shares.put(target, share(ColdSchedule.of(perSecond, endsAt), hash, now));
        } else if (known.schedule().endsAt() != endsAt || known.schedule().perSecond() != perSecond) {
            ColdSchedule schedule = known.schedule().perSecond() == perSecond
                    ? known.schedule().withEnd(endsAt, now)
                    : ColdSchedule.of(perSecond, endsAt);
            shares.put(target, share(schedule, known.targetHash(), now));
        }
    }

    void remove(TargetIncarnation target) {
        shares.remove(target);
    }

    private Share share(ColdSchedule schedule, long targetHash, long now) {
        return new Share(schedule, targetHash, schedule.nextSlot(slot -> isOwned(targetHash, slot), now));
    }

    private boolean isOwned(long targetHash, long slot) {
        int owner = 0;
        long highest = Long.MIN_VALUE;
        for (int place = 0; place < gatewayHashes.length; place++) {
            long hash = Hashing.wyhashFinal4().hashLongLongLongToLong(gatewayHashes[place], targetHash, slot);
            if (hash > highest) {
                highest = hash;
                owner = place;
            }
        }
        return owner == ownPlace;
    }

    /**
     * Returns the time from which a target may be sent a request.
     *
     * @param target the target
     * @param now current time, in milliseconds
     * @return the time in milliseconds, zero if the target is not cold
     */
    long nextSendAt(TargetIncarnation target, long now) {
        Share share = current(target, now);
        return share == null ? 0 : share.schedule().beginOf(share.nextSlot());
    }

    private Share current(TargetIncarnation target, long now) {
        if (now >= nextRemovalAt) {
            removeUnlisted(now);
        }
        Share share = shares.isEmpty() ? null : shares.get(target);
        if (share != null && share.schedule().isPast(share.nextSlot(), now)) {
            share = share(share.schedule(), share.targetHash(), now);
            shares.put(target, share);
        }
        return share;
    }

    /**
     * Records that a request was sent to a target.
     *
     * @param target the target
     * @param now current time, in milliseconds
     */
    void recordSend(TargetIncarnation target, long now) {
        Share share = current(target, now);
        if (share != null) {
            shares.put(target, share(share.schedule().afterSend(share.nextSlot()), share.targetHash(), now));
        }
    }
}
