import type { Vm } from "@marigoldstall/core.types";
import type { Connections } from "../connections.js";
import { listDaemons } from "../list-daemons.js";
import type { ToolContext } from "../tool-context.js";
import type { VmProgress } from "./vm-progress.js";

interface WaitOptions {
    readonly context: ToolContext;
    readonly version: number;
    readonly timeoutMs: number;
}

const POLL_MS = 200;

const readProgress = async (
    connections: Connections,
    vm: Vm,
    opts: WaitOptions & { readonly startedAtMs: number; },
): Promise<VmProgress> => {
    const status = await connections.daemons.readStatus(vm.address);
    if (status.isErr()) {
        const { code, message } = status.error;
        return { vmId: vm.vmId, version: undefined, inForce: false, afterMs: undefined, error: `${code} ${message}` };
    }
    const version = status.value.configurationVersion;
    const inForce = (version ?? 0) >= opts.version;
    const afterMs = inForce ? opts.context.nowMs() - opts.startedAtMs : undefined;
    return { vmId: vm.vmId, version, inForce, afterMs, error: undefined };
};

const describe = (progress: VmProgress, opts: WaitOptions): string => {
    if (progress.inForce) {
        return `${progress.vmId}: version ${progress.version} in force after ${progress.afterMs} ms`;
    }
    return progress.error === undefined
        ? `${progress.vmId}: waiting for version ${opts.version}, has ${progress.version ?? "none"}`
        : `${progress.vmId}: ${progress.error}`;
};

/** Asks the live daemons until the version is in force at all of them or the time is over, and reports progress. */
export const waitUntilInForce = async (connections: Connections, opts: WaitOptions): Promise<readonly VmProgress[]> => {
    const startedAtMs = opts.context.nowMs();
    const done = new Map<string, VmProgress>();
    const reported = new Map<string, string>();
    for (;;) {
        // The list is read again each time, since VMs are replaced while the tool waits.
        const daemons = await listDaemons(connections);
        const vms = daemons.isOk() ? daemons.value : [];
        const progress = await Promise.all(
            vms.map(async vm => done.get(vm.vmId) ?? await readProgress(connections, vm, { ...opts, startedAtMs })),
        );
        for (const entry of progress) {
            const line = describe(entry, opts);
            if (reported.get(entry.vmId) !== line) {
                opts.context.reportProgress(line);
            }
            reported.set(entry.vmId, line);
            if (entry.inForce) {
                done.set(entry.vmId, entry);
            }
        }
        const isDone = progress.length > 0 && progress.every(entry => entry.inForce);
        if (isDone || opts.context.nowMs() - startedAtMs + POLL_MS > opts.timeoutMs) {
            return progress;
        }
        await opts.context.delay(POLL_MS);
    }
};
