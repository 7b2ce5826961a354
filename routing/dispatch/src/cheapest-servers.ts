import type { ServerState } from "./server-state.js";

/**
 * The servers with the lowest costs, sorted by cost and by when they were added. A hub selects some of hundreds of servers
 * for each load query, for which sorting all of them would take longer than their estimates.
 */
export class CheapestServers {
    readonly servers: ServerState[] = [];
    private readonly costsMs: number[] = [];
    private readonly maxCount: number;

    constructor(opts: { readonly maxCount: number; }) {
        this.maxCount = opts.maxCount;
    }

    add(server: ServerState, costMs: number): void {
        const { servers, costsMs, maxCount } = this;
        let position = servers.length;
        while (position > 0 && (costsMs[position - 1] ?? Infinity) > costMs) {
            position -= 1;
        }
        if (position === maxCount) {
            return;
        }
        servers.splice(position, 0, server);
        costsMs.splice(position, 0, costMs);
        if (servers.length > maxCount) {
            servers.pop();
            costsMs.pop();
        }
    }
}
