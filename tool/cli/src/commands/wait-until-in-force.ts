import type { Vm } from "@marigoldstall/core.types";
import type { CommandContext } from "../command-context.js";
import type { Connections } from "../connections.js";
import { listDaemons } from "../list-daemons.js";
import type { VmProgress } from "./vm-progress.js";

interface WaitOptions {
    readonly context: CommandContext;
    readonly version: number;
    readonly timeoutMs: number;
}

const POLL_INTERVAL_MS = 200;

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

const describeProgress = (progress: VmProgress, opts: WaitOptions): string => {
    if (progress.inForce) {
        return `${progress.vmId}: version ${progress.version} in force after ${progress.afterMs} ms`;
    }
    return progress.error === undefined
        ? `${progress.vmId}: waiting for version ${opts.version}, has ${progress.version ?? "none"}`
        : `${progress.vmId}: ${progress.error}`;
};

/** Polls the live daemons until the version is in force at all of them or the timeout expires, reporting progress. */
export const waitUntilInForce = async (connections: Connections, opts: WaitOptions): Promise<readonly VmProgress[]> => {
    const startedAtMs = opts.context.nowMs();
    const finished = new Map<string, VmProgress>();
    const reportedLines = new Map<string, string>();
    for (;;) {
        // The list is read on every poll, because VMs can be replaced while the tool waits.
        const daemons = await listDaemons(connections);
        const vms = daemons.isOk() ? daemons.value : [];
        const progress = await Promise.all(
            vms.map(async vm => finished.get(vm.vmId) ?? await readProgress(connections, vm, { ...opts, startedAtMs })),
        );
        for (const entry of progress) {
            const line = describeProgress(entry, opts);
            if (reportedLines.get(entry.vmId) !== line) {
                opts.context.reportProgress(line);
            }
            reportedLines.set(entry.vmId, line);
            if (entry.inForce) {
                finished.set(entry.vmId, entry);
            }
        }
        const isDone = progress.length > 0 && progress.every(entry => entry.inForce);
        if (isDone || opts.context.nowMs() - startedAtMs + POLL_INTERVAL_MS > opts.timeoutMs) {
            return progress;
        }
        await opts.context.delay(POLL_INTERVAL_MS);
    }
};
