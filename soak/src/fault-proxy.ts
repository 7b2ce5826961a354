import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ProxyMode } from "./proxy-mode.js";

const DELAY_MS = 120;

/** TCP proxy in front of one backend server that injects network faults. */
export class FaultProxy {
    /** When the last fault ended; Infinity while there is one. */
    faultEndedAtMs = -Infinity;
    private mode: ProxyMode = "pass";
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private restartTimer: NodeJS.Timeout | undefined;

    constructor(opts: { readonly host: string; readonly targetPort: () => number; }) {
        this.server = createServer(caller => {
            this.sockets.add(caller);
            caller.on("error", () => undefined);
            if (this.mode === "refuse") {
                caller.resetAndDestroy();
                return;
            }
            const target = connect({ host: opts.host, port: opts.targetPort() });
            target.on("error", () => caller.destroy());
            this.pipe(caller, target, () => this.mode === "drop");
            this.pipe(target, caller, () => this.mode === "drop" || this.mode === "drop-responses");
            caller.on("close", () => {
                this.sockets.delete(caller);
                target.destroy();
            });
            target.on("close", () => caller.end());
        });
    }

    async listen(host: string): Promise<number> {
        await new Promise<void>(resolve => {
            this.server.listen(0, host, resolve);
        });
        return (this.server.address() as AddressInfo).port;
    }

    /** Sets the mode of existing and new connections. Dropped data is not delivered later. */
    setMode(mode: ProxyMode): void {
        this.mode = mode;
        this.faultEndedAtMs = mode === "pass" ? performance.now() : Infinity;
        if (mode === "reset") {
            this.resetConnections(() => true);
        }
    }

    /** Resets the chosen ones of the open connections. */
    resetConnections(isChosen: () => boolean): void {
        for (const socket of this.sockets) {
            if (!isChosen()) {
                continue;
            }
            // Node.js 20.19 never closes the handle of a socket that is reset while it shuts down.
            if (socket.writableEnded) {
                socket.destroy();
            }
            else {
                socket.resetAndDestroy();
            }
        }
    }

    /** Resets all connections and refuses new ones for a time, like a server that ends and is started again. */
    crash(downMs: number): void {
        if (this.isDown) {
            return;
        }
        const { port, address } = this.server.address() as AddressInfo;
        this.close();
        this.faultEndedAtMs = performance.now() + downMs;
        this.restartTimer = setTimeout(() => {
            this.server.listen(port, address);
        }, downMs);
    }

    get isDown(): boolean {
        return !this.server.listening;
    }

    close(): void {
        clearTimeout(this.restartTimer);
        this.server.close();
        this.resetConnections(() => true);
    }

    private pipe(from: Socket, to: Socket, isDropping: () => boolean): void {
        from.on("data", chunk => {
            if (isDropping()) {
                return;
            }
            if (this.mode === "delay") {
                setTimeout(() => to.write(chunk), DELAY_MS);
                return;
            }
            to.write(chunk);
        });
    }
}
