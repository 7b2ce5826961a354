import type { EntrySettings } from "@marigoldstall/core.types";
import { type Findings, selectLiveVms, type VmInfo } from "@marigoldstall/fleet.hubs";
import { RpcClient, RpcServer } from "@marigoldstall/fleet.rpc";
import { listEvacuations, selectViewSnapshot, UNKNOWN_ERA, type ViewSnapshot } from "@marigoldstall/fleet.view";
import * as Option from "effect/Option";
import * as Schema from "effect/Schema";
import { decompressText } from "./decompress-text.js";
import type { EntryEvent } from "./entry-event.js";
import type { EntryState } from "./entry-state.js";
import { ENTRY_TIMINGS } from "./entry-timings.js";
import type { JsonLogger } from "./json-logger.js";
import { NameSchema } from "./name-schema.js";
import type { RefusedInputs } from "./refused-inputs.js";
import { selectFindings } from "./select-findings.js";
import { TextCompressor } from "./text-compressor.js";
import { VmSchema } from "./vm-schema.js";

const ConfirmationSchema = Schema.Struct({ readerId: Schema.String, number: Schema.Int });
const registrationFields = {
    offset: Schema.Int,
    instanceId: NameSchema,
    server: Schema.Struct({
        instanceId: NameSchema,
        startedAtUnixMs: Schema.Finite,
        service: NameSchema,
        address: NameSchema,
        availabilityZone: NameSchema,
        slots: Schema.Int,
        isDraining: Schema.Boolean,
        warmUpMs: Schema.Finite,
    }),
};
const EvacuationsSchema = Schema.Array(Schema.Struct({
    zone: NameSchema,
    position: Schema.Struct({ era: Schema.Int, offset: Schema.Int }),
    isEvacuated: Schema.Boolean,
}));
const FindingsSchema = Schema.Struct({
    limits: Schema.Array(Schema.Struct({
        instanceId: Schema.String,
        startedAtUnixMs: Schema.Finite,
        // JSON has no key for an undefined value: the limit has ended.
        perSecond: Schema.optional(Schema.Finite),
        ageMs: Schema.Finite,
    })),
    leaving: Schema.Array(Schema.Struct({ instanceId: Schema.String, startedAtUnixMs: Schema.Finite })),
    suspects: Schema.Array(Schema.Struct({
        fingerprint: Schema.String,
        completionAgeMs: Schema.NullOr(Schema.Finite),
        crashes: Schema.Array(Schema.Struct({
            instanceId: Schema.String,
            startedAtUnixMs: Schema.Finite,
            ageMs: Schema.Finite,
        })),
    })),
});

const toFindings = ({ limits, leaving, suspects }: Schema.Schema.Type<typeof FindingsSchema>): Findings => ({
    limits: limits.map(limit => ({ ...limit, perSecond: limit.perSecond })),
    leaving,
    // JSON writes Infinity, the age of a completion that is not known, as null.
    suspects: suspects.map(suspect => ({ ...suspect, completionAgeMs: suspect.completionAgeMs ?? Infinity })),
});

const decodeSnapshot = Schema.decodeUnknownOption(Schema.Struct({
    // VMs of earlier releases send neither the era and its start, nor withheld registrations and servers that have left,
    // nor findings.
    era: Schema.optional(Schema.Int),
    nextOffset: Schema.Int,
    eraStartOffset: Schema.optional(Schema.Int),
    ageMs: Schema.Finite,
    confirmation: Schema.optional(ConfirmationSchema),
    registrations: Schema.Array(Schema.Struct(registrationFields)),
    withheld: Schema.optional(Schema.Array(Schema.Struct({ ...registrationFields, remainingMs: Schema.Finite }))),
    departed: Schema.optional(Schema.Array(Schema.Struct({
        instanceId: Schema.String,
        startedAtUnixMs: Schema.Finite,
        isDraining: Schema.Boolean,
        ageMs: Schema.Finite,
    }))),
    findings: Schema.optional(FindingsSchema),
    // Sent only if the operator has evacuated a zone.
    evacuations: Schema.optional(EvacuationsSchema),
}));
const decodeVms = Schema.decodeUnknownOption(Schema.Array(VmSchema));
const decodePeerConfiguration = Schema.decodeUnknownOption(Schema.Struct({
    // VMs of earlier releases send the text as it is.
    text: Schema.optional(Schema.String),
    compressedText: Schema.optional(Schema.String),
    ageMs: Schema.Finite,
    confirmation: Schema.optional(ConfirmationSchema),
    evacuations: Schema.optional(EvacuationsSchema),
}));

const decodeConfigurationParams = Schema.decodeUnknownOption(Schema.Struct({ acceptsCompressed: Schema.Boolean }));

// Four times the largest record of the store.
const MAX_CONFIGURATION_BYTES = 1_048_576;

// JSON cannot represent Infinity, the age of a view that was never confirmed.
const MAX_AGE_MS = 1e9;

interface PeerRpcOptions {
    readonly settings: EntrySettings;
    readonly nowMs: () => number;
    readonly log: JsonLogger;
    readonly refusedInputs: RefusedInputs;
    readonly state: () => EntryState;
    readonly parseConfiguration: (
        text: string,
    ) => Extract<EntryEvent, { readonly type: "configuration-read"; }>["configuration"];
    readonly dispatch: (event: EntryEvent) => void;
}

/** RPC between the daemons, for data that does not fit into a datagram. */
export class PeerRpc {
    private readonly opts: PeerRpcOptions;
    private readonly client: RpcClient;
    private readonly server: RpcServer;
    private readonly compressor = new TextCompressor();

    constructor(opts: PeerRpcOptions) {
        this.opts = opts;
        // The platform provides no secret. The key only separates daemons of different deployments.
        const key = `marigoldstall fleet of the store at ${opts.settings.storeAddress}`;
        this.client = new RpcClient({ key });
        this.server = new RpcServer({
            key,
            methods: {
                "view.snapshot": () => {
                    const snapshot = selectViewSnapshot(opts.state().view, opts.nowMs());
                    if (snapshot === undefined) {
                        return {};
                    }
                    const findings = selectFindings(opts.state(), opts.nowMs());
                    return { ...snapshot, ageMs: Math.min(MAX_AGE_MS, snapshot.ageMs), findings };
                },
                "fleet.vms": () => {
                    const { hub } = opts.state();
                    return [hub.self, ...selectLiveVms(hub, opts.nowMs()).map(vm => vm.info)];
                },
                "view.configuration": params => this.describeConfiguration(params),
            },
            onRefused: (reason, peer) => {
                opts.refusedInputs.record("peer-call-refused", { reason, peer });
            },
        });
    }

    async listen(): Promise<void> {
        await this.server.listen(this.opts.settings.listen.control);
    }

    async close(): Promise<void> {
        this.client.close();
        await this.server.close();
    }

    async fetchVms(peerAddress: string): Promise<readonly VmInfo[]> {
        return Option.getOrElse(decodeVms(await this.call(peerAddress, "fleet.vms")), () => []);
    }

    /** Fetches all that a peer knows of the store. Returns whether it knows both the configuration and the servers. */
    async fetchView(peerAddress: string): Promise<boolean> {
        const results = await Promise.all([this.fetchConfiguration(peerAddress), this.fetchSnapshot(peerAddress)]);
        return !results.includes(false);
    }

    async fetchSnapshot(peerAddress: string): Promise<boolean> {
        const result = await this.call(peerAddress, "view.snapshot");
        const decoded = Option.getOrUndefined(decodeSnapshot(result));
        const snapshot: ViewSnapshot | undefined = decoded === undefined
            ? undefined
            : {
                ...decoded,
                era: decoded.era ?? UNKNOWN_ERA,
                eraStartOffset: decoded.eraStartOffset,
                withheld: decoded.withheld ?? [],
                departed: decoded.departed ?? [],
                confirmation: decoded.confirmation,
            };
        if (snapshot !== undefined) {
            this.opts.dispatch({ type: "view-snapshot-received", snapshot });
            if (decoded?.findings !== undefined) {
                this.opts.dispatch({ type: "findings-received", findings: toFindings(decoded.findings) });
            }
        }
        return snapshot !== undefined;
    }

    async fetchConfiguration(peerAddress: string): Promise<boolean> {
        const params = { acceptsCompressed: true };
        const startedAtMs = this.opts.nowMs();
        const rawResult = await this.call(peerAddress, "view.configuration", params);
        const result = Option.getOrUndefined(decodePeerConfiguration(rawResult));
        const text = result === undefined ? "" : await this.readText(result, peerAddress);
        // A peer that knows no configuration sends an empty text.
        if (result === undefined || text === "") {
            return false;
        }
        const { confirmation, evacuations } = result;
        // The peer may have answered at any time since the call, for example before this process was paused.
        const ageMs = result.ageMs + this.opts.nowMs() - startedAtMs;
        const configuration = this.opts.parseConfiguration(text);
        if (configuration !== undefined) {
            this.opts.dispatch({
                type: "peer-configuration-received",
                configuration,
                ageMs,
                confirmation,
                evacuations,
            });
        }
        return configuration !== undefined;
    }

    // A large configuration in JSON exceeds the limit of a call, and takes the link of a small VM for seconds.
    private async describeConfiguration(params: unknown): Promise<unknown> {
        const { view } = this.opts.state();
        const { configuration, configurationReading } = view;
        const { confirmation, confirmedAtMs } = configurationReading;
        const evacuations = listEvacuations(view);
        const ageMs = Math.min(MAX_AGE_MS, this.opts.nowMs() - confirmedAtMs);
        const text = configuration?.text ?? "";
        const acceptsCompressed = Option.getOrUndefined(decodeConfigurationParams(params))?.acceptsCompressed === true;
        return acceptsCompressed && text !== ""
            ? { compressedText: await this.compressor.compress(text), ageMs, confirmation, ...evacuations }
            : { text, ageMs, confirmation, ...evacuations };
    }

    /** Returns an empty text if the peer's one cannot be read. */
    private async readText(
        result: { readonly text?: string | undefined; readonly compressedText?: string | undefined; },
        peer: string,
    ): Promise<string> {
        if (result.compressedText === undefined) {
            return result.text ?? "";
        }
        try {
            return await decompressText(result.compressedText, { maxBytes: MAX_CONFIGURATION_BYTES });
        }
        catch (error) {
            this.opts.refusedInputs.record("peer-configuration-malformed", { peer, problem: String(error) });
            return "";
        }
    }

    private async call(
        peerAddress: string,
        method: string,
        params: Readonly<Record<string, unknown>> = {},
    ): Promise<unknown> {
        const opts = { method, params, timeoutMs: ENTRY_TIMINGS.rpcTimeoutMs };
        const result = await this.client.call(peerAddress, opts);
        if (result.isErr()) {
            this.opts.log.write("peer-call-failed", { method, peer: peerAddress, problem: result.error.message });
            return undefined;
        }
        return result.value;
    }
}
