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

interface FleetJoinerOptions {
    readonly settings: EntrySettings;
    readonly store: StoreClient;
    readonly log: JsonLogger;
    /** Fetches the VMs that a peer knows. Empty if the peer does not respond. */
    readonly fetchPeerVms: (address: string) => Promise<readonly VmInfo[]>;
    readonly onVmsFound: (vms: readonly VmInfo[]) => void;
}

/**
 * Registers this VM in the store and discovers the others. It writes before it reads, so that of two VMs that start at
 * the same time at least one discovers the other.
 */
export class FleetJoiner {
    private readonly opts: FleetJoinerOptions;

    constructor(opts: FleetJoinerOptions) {
        this.opts = opts;
    }

    /** Retries until this VM's entry is written to the store and the entries of the others are read. */
    async join(): Promise<void> {
        await Effect.runPromise(
            Effect.tryPromise(() => this.joinOnce()).pipe(
                Effect.retry(Schedule.spaced(ENTRY_TIMINGS.joinRetryDelayMs)),
            ),
        );
    }

    // If the store is unavailable, a seed VM provides the hubs, which distribute everything else.
    private async joinThroughSeed(): Promise<void> {
        for (const address of this.opts.settings.seedAddresses) {
            const vms = await this.opts.fetchPeerVms(address);
            if (vms.length > 0) {
                this.opts.log.write("joined-by-peer", { peer: address, vms: vms.length });
                this.opts.onVmsFound(vms);
                return;
            }
        }
    }

    private async joinOnce(): Promise<void> {
        const { settings, store, log } = this.opts;
        const writeResult = await store.write("vms", settings.vmId, JSON.stringify(toVmInfo(settings)));
        const listResult = writeResult.isErr() ? undefined : await store.listNewest("vms");
        const failure = writeResult.isErr()
            ? writeResult.error
            : listResult?.isErr() === true
            ? listResult.error
            : undefined;
        if (listResult === undefined || listResult.isErr()) {
            const problem = failure?.error.message;
            log.write("join-failed", { problem });
            await this.joinThroughSeed();
            throw new Error(problem);
        }
        const vms = listResult.value.records.flatMap(({ value }) => Option.toArray(decodeVm(value)));
        log.write("joined", { vms: vms.length });
        this.opts.onVmsFound(vms);
    }
}
