import type { EntrySettings } from "@marigoldstall/core.types";
import type { VmInfo } from "@marigoldstall/fleet.hubs";
import type { StoreClient } from "@marigoldstall/platform.adapter";
import * as Effect from "effect/Effect";
import * as Option from "effect/Option";
import * as Schedule from "effect/Schedule";
import * as Schema from "effect/Schema";
import { ENTRY_LIMITS } from "./entry-limits.js";
import type { LineLog } from "./line-log.js";
import { toVmInfo } from "./to-vm-info.js";
import { VmSchema } from "./vm-schema.js";

const decodeVm = Schema.decodeUnknownOption(Schema.fromJsonString(VmSchema));

interface FleetJoinerOptions {
    readonly settings: EntrySettings;
    readonly store: StoreClient;
    readonly log: LineLog;
    /** Asks a VM which others it knows; nothing when it does not answer. */
    readonly askPeer: (address: string) => Promise<readonly VmInfo[]>;
    readonly onFound: (vms: readonly VmInfo[]) => void;
}

/**
 * Makes this VM known and finds the others. Writing before reading makes sure that of two VMs that start at the same
 * moment one finds the other.
 */
export class FleetJoiner {
    private readonly opts: FleetJoinerOptions;

    constructor(opts: FleetJoinerOptions) {
        this.opts = opts;
    }

    /** Tries until the store has taken the entry of this VM and told those of the others. */
    async join(): Promise<void> {
        await Effect.runPromise(
            Effect.tryPromise(() => this.tryOnce()).pipe(
                Effect.retry(Schedule.spaced(ENTRY_LIMITS.joinRetryMs)),
            ),
        );
    }

    // Without the store, another VM tells who the hubs are, and they tell the rest.
    private async askSeeds(): Promise<void> {
        for (const address of this.opts.settings.seedAddresses) {
            const vms = await this.opts.askPeer(address);
            if (vms.length > 0) {
                this.opts.log.write("joined-by-peer", { peer: address, vms: vms.length });
                this.opts.onFound(vms);
                return;
            }
        }
    }

    private async tryOnce(): Promise<void> {
        const { settings, store, log } = this.opts;
        const written = await store.write("vms", settings.vmId, JSON.stringify(toVmInfo(settings)));
        const list = written.isErr() ? undefined : await store.listNewest("vms");
        const failure = written.isErr() ? written.error : list?.isErr() === true ? list.error : undefined;
        if (list === undefined || list.isErr()) {
            const problem = failure?.error.message;
            log.write("join-failed", { problem });
            await this.askSeeds();
            throw new Error(problem);
        }
        const vms = list.value.records.flatMap(({ value }) => Option.toArray(decodeVm(value)));
        log.write("joined", { vms: vms.length });
        this.opts.onFound(vms);
    }
}
