import {
    createOwnershipState,
    type OwnershipMember,
    type OwnershipState,
    SHARE_COUNT,
} from "@marigoldstall/fleet.ownership";
import { createLedgerState, type LedgerState } from "@marigoldstall/requests.ledger";

const shareOf = (...[, key]: [string, string]): number => Number.parseInt(key.slice(-4), 16) % SHARE_COUNT;

/** State of one run of a simulated daemon, from its start until it is killed. */
export class ModelDaemon {
    ownership: OwnershipState;
    ledger: LedgerState;
    isAlive = true;
    stoppedAtMs = Infinity;
    pausedUntilMs = 0;
    membersKey = "";
    readonly routedRequestIds = new Set<string>();

    constructor(
        readonly index: number,
        readonly member: OwnershipMember,
        readonly clockSkewMs: number,
        retentionMs: number,
    ) {
        this.ownership = createOwnershipState({ self: member, logRetentionMs: retentionMs });
        this.ledger = createLedgerState({ self: member.daemon, shareOf });
    }

    get key(): string {
        return `${this.member.daemon.vmId}/${this.member.daemon.incarnation}`;
    }
}
