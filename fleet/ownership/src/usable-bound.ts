import type { OwnedShare } from "./owned-share.js";
import type { ShareTerm } from "./share-term.js";

/**
 * Exclusive limit of the key times that the owner of a current term may grant. Bounds in the log count without
 * limit, as every later term starts above them; promises count only up to where this daemon ended its term.
 */
export const usableBound = (current: ShareTerm, owned: OwnedShare): number =>
    Math.max(current.boundMs, Math.min(owned.promisedBoundMs, owned.relinquishedAtMs));
