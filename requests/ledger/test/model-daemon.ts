import {
    createOwnershipState,
    type OwnershipMember,
    type OwnershipState,
    SHARE_COUNT,
} from "@marigoldstall/fleet.ownership";
import { createLedgerState, type LedgerState } from "@marigoldstall/requests.ledger";

const shareOf = (...[, key]: [string, string]): number => Number.parseInt(key.slice(-4), 16) % SHARE_COUNT;

/** One run of a daemon: its state, and whether it runs. */
export class ModelDaemon {
    ownership: OwnershipState;
    ledger: LedgerState;
    isAlive = true;
    stoppedAtMs = Infinity;
    pausedUntilMs = 0;
    membersKey = "";
    readonly routed = new Set<string>();

    constructor(
        readonly index: number,
        readonly member: OwnershipMember,
        readonly skewMs: number,
        retentionMs: number,
    ) {
        this.ownership = createOwnershipState({ self: member, logRetentionMs: retentionMs });
        this.ledger = createLedgerState({ self: member.daemon, shareOf });
    }

    get key(): string {
        return `${this.member.daemon.vmId}/${this.member.daemon.incarnation}`;
    }
}
