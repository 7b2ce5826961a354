import type { OwnedShare } from "./owned-share.js";
import type { ShareTerm } from "./share-term.js";

/**
 * Returns the exclusive upper limit of the key times that the owner of a current term may grant. Bounds in the log are
 * always usable, as every later term starts at or above them; promises only up to where this daemon ended its term.
 */
export const usableBound = (current: ShareTerm, owned: OwnedShare): number =>
    Math.max(current.boundMs, Math.min(owned.promisedBoundMs, owned.relinquishedAtMs));
