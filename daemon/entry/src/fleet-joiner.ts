import type { EntrySettings } from "@marigoldstall/core.types";
import type { VmInfo } from "@marigoldstall/fleet.hubs";
import type { StoreClient } from "@marigoldstall/platform.adapter";
import * as Effect from "effect/Effect";
import * as Option from "effect/Option";
import * as Schedule from "effect/Schedule";
import * as Schema from "effect/Schema";
import type { Result } from "neverthrow";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import type { JsonLogger } from "./json-logger.js";
import { toVmInfo } from "./to-vm-info.js";
import { VmSchema } from "./vm-schema.js";

const decodeVm = Schema.decodeUnknownOption(Schema.fromJsonString(VmSchema));

// A VM with this bandwidth or more lists the fleet without delay, as it is likely to become a hub.
const HUB_LINK_MBPS = 200;

// A zone of 52 VMs takes 4 s with a store that takes 0.3 s per call. The rate needs no other bound: if all entries are
// missing, there are 14 writes where the store allows 400 per second, and 312 where it allows 3,200.
const CONCURRENT_WRITES = 4;

const ENTRY_LOST = "the store has lost the entry that this VM wrote";

const encodeVm = (vm: VmInfo): string => JSON.stringify(toVmInfo(vm));

interface FleetJoinerOptions {
    readonly settings: EntrySettings;
    readonly store: StoreClient;
    readonly log: JsonLogger;
    /** Fetches the VMs that a peer knows. Empty if the peer does not respond. */
    readonly fetchPeerVms: (address: string) => Promise<readonly VmInfo[]>;
    /** Whether a hub has found this VM. */
    readonly hasHub: () => boolean;
    readonly isHub: () => boolean;
    readonly random: () => number;
    readonly onVmsFound: (vms: readonly VmInfo[]) => void;
}

interface FleetList {
    readonly vms: readonly VmInfo[];
    readonly keys: readonly string[];
}

/**
 * Makes this VM known to the others. A VM that restarts asks a seed, which takes no call of the store. Otherwise it
 * registers in the store and lists the others there. It writes before it lists, so that of two VMs that start at the
 * same time at least one discovers the other.
 */
export class FleetJoiner {
    private readonly opts: FleetJoinerOptions;
    private readonly abortController = new AbortController();
    private restoreCount = 0;
    private isRejoining = false;

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
        if (!isFirstStart && await this.joinThroughSeed()) {
            return;
        }
        await Effect.runPromise(
            Effect.tryPromise(() => this.joinThroughStore()).pipe(
                Effect.retry(Schedule.spaced(ENTRY_TIMINGS.joinRetryDelayMs)),
            ),
            { signal: this.abortController.signal },
        );
    }

    /**
     * Makes sure that the store has the entries of this VM's zone, after the store was restored from an older copy.
     * The hub of the zone lists the entries and writes those that are missing, until a list has them all. The other VMs
     * only watch whether they become the hub. Ends when that is done or on a stop, and never rejects. If the store is
     * restored again meanwhile, a further call extends the one that runs.
     */
    async rejoin(liveVms: () => readonly VmInfo[]): Promise<void> {
        this.restoreCount += 1;
        if (this.isRejoining) {
            return;
        }
        this.isRejoining = true;
        let restoreCount = 0;
        let roundsLeft = 0;
        try {
            await this.wait(ENTRY_TIMINGS.rejoinDelaySpreadMs * this.opts.random());
            for (;;) {
                if (restoreCount !== this.restoreCount) {
                    restoreCount = this.restoreCount;
                    roundsLeft = ENTRY_TIMINGS.rejoinWatchRounds;
                }
                // A list that was requested before the latest restore confirms nothing.
                const isDone = this.opts.isHub()
                    ? await this.writeMissingEntries(liveVms) && restoreCount === this.restoreCount
                    : roundsLeft === 0;
                if (isDone) {
                    return;
                }
                roundsLeft = Math.max(0, roundsLeft - 1);
                await this.wait(ENTRY_TIMINGS.rejoinRoundIntervalMs);
            }
        }
        catch (error) {
            // Only a shutdown ends the retries.
            this.opts.log.write("rejoin-ended", { problem: String(error) });
        }
        finally {
            this.isRejoining = false;
        }
    }

    /**
     * Returns whether the store has the entries of all live VMs of the zone. It lists them again after a write, since a
     * VM that started meanwhile may have listed before the write.
     */
    private async writeMissingEntries(liveVms: () => readonly VmInfo[]): Promise<boolean> {
        const { settings, store, log } = this.opts;
        const list = await this.list();
        if (list.isErr()) {
            log.write("rejoin-failed", { problem: list.error });
            return false;
        }
        this.abortController.signal.throwIfAborted();
        const present = new Set(list.value.vms.map(encodeVm));
        const zoneVms = liveVms().filter(vm => vm.availabilityZone === settings.availabilityZone);
        const expected = new Map([settings, ...zoneVms].map(vm => [vm.vmId, encodeVm(vm)]));
        const missing = [...expected].filter(([, value]) => !present.has(value));
        if (missing.length === 0) {
            log.write("rejoined", { vms: list.value.vms.length });
            return true;
        }
        const results = await Effect.runPromise(
            Effect.forEach(
                missing,
                ([vmId, value]) => Effect.promise(() => store.write("vms", vmId, value)),
                { concurrency: CONCURRENT_WRITES },
            ),
            { signal: this.abortController.signal },
        );
        const problems = results.flatMap(result => result.isErr() ? [result.error.error.message] : []);
        log.write("entries-written", { vms: missing.length - problems.length });
        if (problems.length > 0) {
            log.write("rejoin-failed", { problem: problems[0], failures: problems.length });
        }
        return false;
    }

    // A seed that knows nobody has just started itself.
    private async joinThroughSeed(): Promise<boolean> {
        const { settings, log, fetchPeerVms, onVmsFound } = this.opts;
        const addresses = settings.seedAddresses.filter(address => address !== settings.listen.control);
        try {
            const { address, vms } = await Promise.any(addresses.map(async address => {
                const vms = await fetchPeerVms(address);
                return vms.length > 1 ? { address, vms } : Promise.reject(new Error(`${address} knows no other VM`));
            }));
            log.write("joined-by-peer", { peer: address, vms: vms.length });
            onVmsFound(vms);
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
        const write = await store.write("vms", settings.vmId, encodeVm(settings));
        if (write.isErr()) {
            return this.fail(write.error.error.message);
        }
        if (settings.isFirstStart && await this.waitForHub()) {
            log.write("joined-by-hub", {});
            return;
        }
        const list = await this.list();
        if (list.isErr()) {
            return this.fail(list.error);
        }
        log.write("joined", { vms: list.value.vms.length });
        if (!list.value.keys.includes(settings.vmId)) {
            // The store was restored from an older copy after the write.
            log.write("join-failed", { problem: ENTRY_LOST });
            throw new Error(ENTRY_LOST);
        }
        if (settings.isFirstStart) {
            await this.listAgainAsHub();
        }
    }

    /** Lists the entries in the store and reports the VMs. */
    private async list(): Promise<Result<FleetList, string>> {
        const { store, onVmsFound } = this.opts;
        const list = await store.listNewest("vms");
        return list.mapErr(({ error }) => error.message).map(({ records }) => {
            const vms = records.flatMap(({ value }) => Option.toArray(decodeVm(value)));
            onVmsFound(vms);
            return { vms, keys: records.map(({ key }) => key) };
        });
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
        const { log, isHub } = this.opts;
        for (let round = 0; round < ENTRY_TIMINGS.hubListRounds; round += 1) {
            await this.wait(ENTRY_TIMINGS.hubListIntervalMs);
            if (!isHub()) {
                continue;
            }
            const list = await this.list();
            if (list.isErr()) {
                log.write("join-failed", { problem: list.error });
            }
            else {
                log.write("joined", { vms: list.value.vms.length });
            }
        }
    }

    // Rejects on a stop.
    private async wait(durationMs: number): Promise<void> {
        await Effect.runPromise(Effect.sleep(durationMs), { signal: this.abortController.signal });
    }

    // While the store is unavailable, a seed provides the hubs, which distribute everything else.
    private async fail(problem: string): Promise<never> {
        this.opts.log.write("join-failed", { problem });
        await this.joinThroughSeed();
        throw new Error(problem);
    }
}
