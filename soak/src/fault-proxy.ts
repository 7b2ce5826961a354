import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ProxyMode } from "./proxy-mode.js";

const DELAY_MS = 120;

/** A proxy on loopback in front of one backend server. */
export class FaultProxy {
    private mode: ProxyMode = "pass";
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

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
            this.pipe(caller, target, () => this.mode === "silence");
            this.pipe(target, caller, () => this.mode === "silence" || this.mode === "silence-answers");
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

    /** A mode lasts for the connections that exist and for new ones; what was silenced stays lost. */
    setMode(mode: ProxyMode): void {
        this.mode = mode;
        if (mode === "reset") {
            for (const socket of this.sockets) {
                socket.resetAndDestroy();
            }
        }
    }

    close(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private pipe(from: Socket, to: Socket, isSilent: () => boolean): void {
        from.on("data", chunk => {
            if (isSilent()) {
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
