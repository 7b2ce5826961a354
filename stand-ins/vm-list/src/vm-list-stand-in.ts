import { InvalidRequestError, readJson, sendJson } from "@marigoldstall-private/http";
import * as Schema from "effect/Schema";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { ListedVm } from "./listed-vm.js";
import type { VmListEntry } from "./vm-list-entry.js";
import type { VmListFaultSettings } from "./vm-list-fault-settings.js";
import { VmListFaults } from "./vm-list-faults.js";
import type { VmListOptions } from "./vm-list-options.js";
import type { VmListResponse } from "./vm-list-response.js";

const MAX_BODY_BYTES = 1_048_576;
/** Longer than any lag used by the tests, and short enough to keep the history small. */
const HISTORY_MS = 300_000;
const VM_PATH = /^\/_vms\/([^/]+)(\/leave)?$/;

const decodeVm = Schema.decodeUnknownSync(ListedVm, { onExcessProperty: "error" });
const decodeFaults = Schema.decodeUnknownSync(VmListFaults, { onExcessProperty: "error" });

const omitEverySecondVm = (vms: readonly VmListEntry[]): readonly VmListEntry[] => {
    const seenByRole = new Map<string, number>();
    return vms.filter(vm => {
        const seen = seenByRole.get(vm.role) ?? 0;
        seenByRole.set(vm.role, seen + 1);
        return seen % 2 === 0;
    });
};

/** In-memory stand-in for the platform's VM list, with faults that can be set at run time. */
export class VmListStandIn {
    readonly address: string;
    private readonly server: Server;
    private history: VmListResponse[];
    private faults: VmListFaultSettings = {};
    private frozenAtMs: number | undefined;

    private constructor(server: Server, opts: VmListOptions) {
        this.server = server;
        this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        this.history = [{ asOfMs: Date.now(), vms: opts.vms ?? [] }];
        server.on("request", (request, response) => {
            this.serve(request, response).catch((error: unknown) => {
                const status = error instanceof InvalidRequestError ? error.status : 400;
                sendJson(response, { status, body: { error: String(error) } });
            });
        });
    }

    static async start(opts: VmListOptions = {}): Promise<VmListStandIn> {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(opts.port ?? 0, "127.0.0.1", resolve);
        });
        return new VmListStandIn(server, opts);
    }

    /** Returns the current list, regardless of injected faults. */
    vms(): readonly VmListEntry[] {
        return this.history.at(-1)?.vms ?? [];
    }

    /** Adds a VM, or replaces the VM with the same id. */
    add(vm: VmListEntry): void {
        this.updateVms([...this.vms().filter(known => known.vmId !== vm.vmId), vm]);
    }

    remove(vmId: string): void {
        this.updateVms(this.vms().filter(vm => vm.vmId !== vmId));
    }

    /** Marks a VM as leaving. */
    leave(vmId: string): void {
        this.updateVms(this.vms().map(vm => vm.vmId === vmId ? { ...vm, state: "leaving" } : vm));
    }

    /** Replaces the injected faults. `{}` clears them. */
    setFaults(faults: VmListFaultSettings): void {
        this.frozenAtMs = faults.standsStill === true ? this.frozenAtMs ?? Date.now() : undefined;
        this.faults = faults;
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        await closed;
    }

    private updateVms(vms: readonly VmListEntry[]): void {
        const atMs = Date.now();
        const firstNeeded = this.history.findLastIndex(entry => entry.asOfMs < atMs - HISTORY_MS);
        this.history = [...this.history.slice(Math.max(firstNeeded, 0)), { asOfMs: atMs, vms }];
    }

    private buildResponse(): VmListResponse {
        const asOfMs = (this.frozenAtMs ?? Date.now()) - (this.faults.lagMs ?? 0);
        const entry = this.history.findLast(known => known.asOfMs <= asOfMs) ?? this.history[0];
        const vms = this.faults.empty === true ? [] : entry?.vms ?? [];
        return { asOfMs, vms: this.faults.halfMissing === true ? omitEverySecondVm(vms) : vms };
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const route = `${request.method} ${request.url}`;
        if (route === "GET /vms") {
            if (this.faults.outage === "drop") {
                response.destroy();
            }
            else if (this.faults.outage === "refuse") {
                sendJson(response, { status: 503, body: { error: "service unavailable (injected outage)" } });
            }
            else {
                sendJson(response, { status: 200, body: this.buildResponse() });
            }
            return;
        }
        const found = await this.serveControl(route, request);
        sendJson(response, {
            status: found ? 200 : 404,
            body: found ? { vms: this.vms(), faults: this.faults } : { error: "unknown path, method or VM" },
        });
    }

    private async serveControl(route: string, request: IncomingMessage): Promise<boolean> {
        const path = VM_PATH.exec(request.url ?? "");
        const vmId = path?.[1] === undefined ? undefined : decodeURIComponent(path[1]);
        if (route === "GET /_vms" || route === "GET /_faults") {
            return true;
        }
        if (route === "POST /_vms") {
            this.add(decodeVm(await readJson(request, { maxBytes: MAX_BODY_BYTES })));
            return true;
        }
        if (route === "POST /_faults") {
            this.setFaults(decodeFaults(await readJson(request, { maxBytes: MAX_BODY_BYTES })));
            return true;
        }
        if (vmId === undefined || !this.vms().some(vm => vm.vmId === vmId)) {
            return false;
        }
        const isLeaveRequest = path?.[2] !== undefined;
        if (request.method === "POST" && isLeaveRequest) {
            this.leave(vmId);
            return true;
        }
        if (request.method === "DELETE" && !isLeaveRequest) {
            this.remove(vmId);
            return true;
        }
        return false;
    }
}
