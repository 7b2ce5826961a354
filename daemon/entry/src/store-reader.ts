import type { RegistrationChange, StorePosition } from "@marigoldstall/fleet.view";
import {
    decodeConfiguration,
    decodeOperatorRecords,
    decodeRegistration,
    type LogPage,
    type NewestList,
    type StoreClient,
    type StoreFailure,
    type StoreRecord,
} from "@marigoldstall/platform.adapter";
import type { Result } from "neverthrow";
import type { EntryEvent } from "./entry-event.js";
import type { JsonLogger } from "./json-logger.js";
import type { RefusedInputs } from "./refused-inputs.js";

interface StoreReaderOptions {
    readonly store: StoreClient;
    readonly log: JsonLogger;
    readonly refusedInputs: RefusedInputs;
    readonly nowMs: () => number;
    readonly dispatch: (event: EntryEvent) => void;
}

/** Reads the topics of the store and dispatches their records as events. */
export class StoreReader {
    private readonly opts: StoreReaderOptions;

    constructor(opts: StoreReaderOptions) {
        this.opts = opts;
    }

    async readRegistrations(from: StorePosition | undefined): Promise<void> {
        const { store, nowMs, dispatch } = this.opts;
        const startedAtMs = nowMs();
        if (from === undefined) {
            const list = await store.listNewest("registrations");
            if (list.isErr()) {
                this.handleReadFailure("registrations", list.error);
                return;
            }
            const { era, records, nextOffset } = list.value;
            dispatch({
                type: "registrations-listed",
                startedAtMs,
                era,
                registrations: this.decodeRegistrations(records),
                nextOffset,
            });
            return;
        }
        const page = await store.read("registrations", from.offset);
        if (page.isErr()) {
            this.handleReadFailure("registrations", page.error);
            return;
        }
        const { era, records, nextOffset, endOffset } = page.value;
        dispatch({
            type: "registrations-read",
            startedAtMs,
            era,
            from,
            changes: this.decodeRegistrations(records),
            nextOffset,
            endOffset,
        });
    }

    async readConfiguration(from: StorePosition | undefined): Promise<void> {
        const { store, nowMs, dispatch } = this.opts;
        const startedAtMs = nowMs();
        const read: Result<NewestList & Partial<Pick<LogPage, "endOffset">>, StoreFailure> = from === undefined
            ? await store.listNewest("configuration")
            : await store.read("configuration", from.offset);
        if (read.isErr()) {
            this.handleReadFailure("configuration", read.error);
            return;
        }
        const { era, records, nextOffset, endOffset } = read.value;
        const { configurationText: text, evacuations } = decodeOperatorRecords(records);
        const configuration = text === undefined ? undefined : this.parseConfiguration(text);
        dispatch({
            type: "configuration-read",
            startedAtMs,
            era,
            from,
            nextOffset,
            endOffset,
            configuration,
            evacuations,
        });
    }

    /** Decodes a configuration. Logs a malformed one and returns undefined, so that the last valid one stays active. */
    parseConfiguration(text: string): Extract<EntryEvent, { readonly type: "configuration-read"; }>["configuration"] {
        const decoded = decodeConfiguration(text);
        if (decoded.isErr()) {
            this.opts.refusedInputs.record("configuration-malformed", { problem: decoded.error.message });
            return undefined;
        }
        return { text, configuration: decoded.value };
    }

    private decodeRegistrations(records: readonly StoreRecord[]): readonly RegistrationChange[] {
        return records.flatMap(({ offset, key: instanceId, value }): readonly RegistrationChange[] => {
            if (value === undefined) {
                return [{ offset, instanceId, server: undefined }];
            }
            const decoded = decodeRegistration(instanceId, value);
            if (decoded.isErr()) {
                const problem = decoded.error.message;
                this.opts.refusedInputs.record("registration-malformed", { instanceId, problem });
                return [];
            }
            return [{ offset, instanceId, server: decoded.value }];
        });
    }

    private handleReadFailure(topic: "registrations" | "configuration", failure: StoreFailure): void {
        const { error, kind, era } = failure;
        this.opts.log.write("store-read-failed", { topic, outcome: kind, problem: error.message, peer: error.peer });
        this.opts.dispatch({ type: "store-read-failed", topic, isExpired: kind === "expired", era });
    }
}
