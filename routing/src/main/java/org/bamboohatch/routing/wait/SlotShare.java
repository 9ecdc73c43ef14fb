package org.bamboohatch.routing.wait;

import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.kernel.id.TargetName;

/**
 * The engines whose free slots a gateway may use while strict requests wait at several gateways. The gateways learn of each
 * other's dispatches late, so without shares each freed slot gets a request from every gateway. Each engine belongs to one
 * of the gateways with waiting requests, chosen by rendezvous hashing; the shares of a gateway without any fall to the
 * others.
 *
 * @param self name of this gateway
 * @param others names of the other gateways at which strict requests wait
 */
public record SlotShare(String self, List<String> others) {

    /** All slots, as no other gateway needs any. */
    public static final SlotShare WHOLE = new SlotShare("", List.of());

    /** Copies the list to keep the record immutable. */
    public SlotShare {
        others = List.copyOf(others);
    }

    /**
     * Indicates whether this gateway may use the free slots of an engine.
     *
     * @param engine name of the engine
     * @return whether the engine belongs to this gateway
     */
    boolean includes(TargetName engine) {
        if (others.isEmpty()) {
            return true;
        }
        long own = score(self, engine);
        for (String other : others) {
            long score = score(other, engine);
            if (score < own || score == own && other.compareTo(self) < 0) {
                return false;
            }
        }
        return true;
    }

    private static long score(String gateway, TargetName engine) {
        return Hashing.komihash5_0()
                .hashLongLongToLong(gateway.hashCode(), engine.value().hashCode());
    }
}
