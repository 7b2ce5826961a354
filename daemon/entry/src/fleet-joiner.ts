import type { EntrySettings } from "@marigoldstall/core.types";
import type { VmInfo } from "@marigoldstall/fleet.hubs";
import type { StoreClient } from "@marigoldstall/platform.adapter";
import * as Effect from "effect/Effect";
import * as Option from "effect/Option";
import * as Schedule from "effect/Schedule";
import * as Schema from "effect/Schema";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import type { JsonLogger } from "./json-logger.js";
import { toVmInfo } from "./to-vm-info.js";
import { VmSchema } from "./vm-schema.js";

const decodeVm = Schema.decodeUnknownOption(Schema.fromJsonString(VmSchema));

// A VM with this bandwidth or more lists the fleet without delay, as it is likely to become a hub.
const HUB_LINK_MBPS = 200;

interface FleetJoinerOptions {
    readonly settings: EntrySettings;
    readonly store: StoreClient;
    readonly log: JsonLogger;
    /** Fetches the VMs that a peer knows. Empty if the peer does not respond. */
    readonly fetchPeerVms: (address: string) => Promise<readonly VmInfo[]>;
    /** Fetches what a peer knows of the store. Returns whether that is a complete view. */
    readonly fetchPeerView: (address: string) => Promise<boolean>;
    /** Whether a hub has found this VM. */
    readonly hasHub: () => boolean;
    readonly isHub: () => boolean;
    readonly random: () => number;
    readonly onVmsFound: (vms: readonly VmInfo[]) => void;
    /** Called once a restarted VM has the view of a seed, or need not wait for one any longer. */
    readonly onSeedsAsked: () => void;
}

/**
 * Makes this VM known to the others. A VM that restarts asks a seed, which takes no call of the store. Otherwise it
 * registers in the store and lists the others there. It writes before it lists, so that of two VMs that start at the
 * same time at least one discovers the other.
 */
export class FleetJoiner {
    private readonly opts: FleetJoinerOptions;
    private readonly abortController = new AbortController();

    constructor(opts: FleetJoinerOptions) {
        this.opts = opts;
    }

    /** Ends the retries. */
    stop(): void {
        this.abortController.abort();
    }

    /** Retries until a seed has answered, or this VM's entry is in the store and the others know it. */
    async join(): Promise<void> {
        const { isFirstStart } = this.opts.settings;
        if (!isFirstStart && await this.joinAfterRestart()) {
            return;
        }
        await Effect.runPromise(
            Effect.tryPromise(() => this.joinThroughStore()).pipe(
                Effect.retry(Schedule.spaced(ENTRY_TIMINGS.joinRetryDelayMs)),
            ),
            { signal: this.abortController.signal },
        );
    }

    private async joinAfterRestart(): Promise<boolean> {
        const timer = setTimeout(this.opts.onSeedsAsked, ENTRY_TIMINGS.seedWaitMs);
        const hasJoined = await this.joinThroughSeed();
        clearTimeout(timer);
        this.opts.onSeedsAsked();
        return hasJoined;
    }

    // A seed that knows nobody has just started itself.
    private async joinThroughSeed(): Promise<boolean> {
        const { settings, log, fetchPeerVms, fetchPeerView, onVmsFound } = this.opts;
        const addresses = settings.seedAddresses.filter(address => address !== settings.listen.control);
        try {
            const { address, vms } = await Promise.any(addresses.map(async address => {
                const vms = await fetchPeerVms(address);
                return vms.length > 1 ? { address, vms } : Promise.reject(new Error(`${address} knows no other VM`));
            }));
            log.write("joined-by-peer", { peer: address, vms: vms.length });
            onVmsFound(vms);
            if (!await fetchPeerView(address)) {
                // The seed has just started and waits for a view itself.
                await Promise.all(addresses.filter(other => other !== address).map(fetchPeerView));
            }
            return true;
        }
        catch (error) {
            const problem = error instanceof AggregateError ? error.errors.map(String).join("; ") : String(error);
            log.write("seeds-failed", { problem });
            return false;
        }
    }

    private async joinThroughStore(): Promise<void> {
        const { settings, store, log } = this.opts;
        const write = await store.write("vms", settings.vmId, JSON.stringify(toVmInfo(settings)));
        if (write.isErr()) {
            return this.fail(write.error.error.message);
        }
        if (settings.isFirstStart && await this.waitForHub()) {
            log.write("joined-by-hub", {});
            return;
        }
        const problem = await this.list();
        if (problem !== undefined) {
            return this.fail(problem);
        }
        if (settings.isFirstStart) {
            await this.listAgainAsHub();
        }
    }

    /** Lists the entries in the store. Returns the problem if that fails. */
    private async list(): Promise<string | undefined> {
        const { store, log, onVmsFound } = this.opts;
        const list = await store.listNewest("vms");
        if (list.isErr()) {
            return list.error.error.message;
        }
        const vms = list.value.records.flatMap(({ value }) => Option.toArray(decodeVm(value)));
        log.write("joined", { vms: vms.length });
        onVmsFound(vms);
        return undefined;
    }

    // Listing calls of the store are billed. When all VMs start together, the likely hubs list first and tell the rest.
    private async waitForHub(): Promise<boolean> {
        const { settings, random, hasHub } = this.opts;
        const rankShare = Math.max(0, 1 - settings.linkMbps / HUB_LINK_MBPS);
        await this.wait(
            ENTRY_TIMINGS.listDelayMs + ENTRY_TIMINGS.listDelaySpreadMs * random()
                + ENTRY_TIMINGS.listDelayOfSmallVmMs * rankShare,
        );
        return hasHub();
    }

    // Small VMs take longer to start, so they write their entries after the hubs have listed them for the first time.
    private async listAgainAsHub(): Promise<void> {
        for (let round = 0; round < ENTRY_TIMINGS.hubListRounds; round += 1) {
            await this.wait(ENTRY_TIMINGS.hubListIntervalMs);
            const problem = this.opts.isHub() ? await this.list() : undefined;
            if (problem !== undefined) {
                this.opts.log.write("join-failed", { problem });
            }
        }
    }

    private async wait(durationMs: number): Promise<void> {
        await new Promise(resolve => {
            setTimeout(resolve, durationMs);
        });
    }

    // While the store is unavailable, a seed provides the hubs, which distribute everything else.
    private async fail(problem: string): Promise<never> {
        this.opts.log.write("join-failed", { problem });
        await this.joinThroughSeed();
        throw new Error(problem);
    }
}
