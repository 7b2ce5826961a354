import type { RegistrationChange } from "@marigoldstall/fleet.view";
import {
    CONFIGURATION_KEY,
    decodeConfiguration,
    decodeRegistration,
    type StoreClient,
    type StoreFailure,
    type StoreRecord,
} from "@marigoldstall/platform.adapter";
import type { EntryEvent } from "./entry-event.js";
import type { LineLog } from "./line-log.js";

interface StoreReaderOptions {
    readonly store: StoreClient;
    readonly log: LineLog;
    readonly atMs: () => number;
    readonly dispatch: (event: EntryEvent) => void;
}

/** Reads topics of the store and turns the records into events. */
export class StoreReader {
    private readonly opts: StoreReaderOptions;

    constructor(opts: StoreReaderOptions) {
        this.opts = opts;
    }

    async readRegistrations(fromOffset: number | undefined): Promise<void> {
        const { store, atMs, dispatch } = this.opts;
        const startedAtMs = atMs();
        if (fromOffset === undefined) {
            const list = await store.listNewest("registrations");
            if (list.isErr()) {
                this.fail("registrations", list.error);
                return;
            }
            const { records, nextOffset } = list.value;
            dispatch({
                type: "registrations-listed",
                startedAtMs,
                registrations: this.toChanges(records),
                nextOffset,
            });
            return;
        }
        const page = await store.read("registrations", fromOffset);
        if (page.isErr()) {
            this.fail("registrations", page.error);
            return;
        }
        const { records, nextOffset, endOffset } = page.value;
        dispatch({ type: "registrations-read", startedAtMs, changes: this.toChanges(records), nextOffset, endOffset });
    }

    async readConfiguration(fromOffset: number | undefined): Promise<void> {
        const { store, atMs, dispatch } = this.opts;
        const startedAtMs = atMs();
        const read = fromOffset === undefined
            ? await store.listNewest("configuration")
            : await store.read("configuration", fromOffset);
        if (read.isErr()) {
            this.fail("configuration", read.error);
            return;
        }
        const { records, nextOffset } = read.value;
        const text = records.filter(record => record.key === CONFIGURATION_KEY).at(-1)?.value;
        const configuration = text === undefined ? undefined : this.toConfiguration(text);
        dispatch({ type: "configuration-read", startedAtMs, nextOffset, configuration });
    }

    /** Decodes a configuration; one that cannot be read is logged and the last good one stays in force. */
    toConfiguration(text: string): Extract<EntryEvent, { readonly type: "configuration-read"; }>["configuration"] {
        const decoded = decodeConfiguration(text);
        if (decoded.isErr()) {
            this.opts.log.write("configuration-malformed", { problem: decoded.error.message });
            return undefined;
        }
        return { text, configuration: decoded.value };
    }

    private toChanges(records: readonly StoreRecord[]): readonly RegistrationChange[] {
        return records.flatMap(({ offset, key: instanceId, value }): readonly RegistrationChange[] => {
            if (value === undefined) {
                return [{ offset, instanceId, server: undefined }];
            }
            const decoded = decodeRegistration(instanceId, value);
            if (decoded.isErr()) {
                this.opts.log.write("registration-malformed", { instanceId, problem: decoded.error.message });
                return [];
            }
            return [{ offset, instanceId, server: decoded.value }];
        });
    }

    private fail(topic: "registrations" | "configuration", failure: StoreFailure): void {
        const { error, kind } = failure;
        this.opts.log.write("store-read-failed", { topic, outcome: kind, problem: error.message, peer: error.peer });
        this.opts.dispatch({ type: "store-read-failed", topic, isExpired: kind === "expired" });
    }
}
