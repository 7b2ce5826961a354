import type { DaemonId } from "@marigoldstall/core.types";
import type { SettleRequest } from "./settle-request.js";

/** A settlement that is resent until all `owners` have confirmed it. */
export interface PendingSettlement {
    readonly request: SettleRequest;
    readonly owners: readonly DaemonId[];
    readonly storedBytes: number;
    readonly nextSendAtMs: number;
    readonly giveUpAtMs: number;
}
