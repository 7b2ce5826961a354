import { Command } from "commander";
import * as Schema from "effect/Schema";
import { BackendHost } from "./backend-host.js";
import { BackendOptions } from "./backend-options.js";

const decodeServers = Schema.decodeUnknownSync(Schema.Array(BackendOptions), { onExcessProperty: "error" });

const command = new Command("backend-server-stand-in")
    .description("Runs backend servers on 127.0.0.1 and prints their addresses as one line of JSON.")
    .option("--servers <json>", "JSON array with the options of each server", "[{}]")
    .option("--until-stdin-ends", "stop when standard input ends, which it does when the parent process dies")
    .action(async (opts: { servers: string; untilStdinEnds?: true; }) => {
        const host = await BackendHost.start({ servers: decodeServers(JSON.parse(opts.servers)) });
        const stop = () => void host.close().then(() => process.exit(0));
        process.once("SIGTERM", stop).once("SIGINT", stop);
        if (opts.untilStdinEnds) {
            process.stdin.once("close", stop).resume();
        }
        const servers = host.servers.map(({ vmId, service, address }) => ({ vmId, service, address }));
        console.log(JSON.stringify({ control: host.controlAddress, servers }));
    });
await command.parseAsync();
