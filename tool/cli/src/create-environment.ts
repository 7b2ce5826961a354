import { HttpLogClient } from "@marigoldstall/platform.log-client";
import { HttpVmListClient } from "@marigoldstall/platform.vm-list-client";
import { readFile } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import { RpcDaemonClient } from "./rpc-daemon-client.js";
import type { ToolEnvironment } from "./tool-environment.js";

/** Creates the environment of the current process. */
export const createEnvironment = (): ToolEnvironment => ({
    env: process.env,
    readFile: path => readFile(path, "utf8"),
    writeOutput: text => process.stdout.write(text),
    writeError: text => process.stderr.write(text),
    createClients: ({ platform, security }) => ({
        log: new HttpLogClient({ address: platform.log }),
        vmList: new HttpVmListClient({ address: platform.vmList }),
        daemons: new RpcDaemonClient({ controlKey: security.controlKey }),
    }),
    nowMs: () => Math.round(performance.now()),
    delay: async ms => {
        await delay(ms);
    },
    createUniqueId: () => createUuid(),
});
