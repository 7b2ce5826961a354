import { Command } from "commander";
import * as Schema from "effect/Schema";
import { ListedVm } from "./listed-vm.js";
import { VmListStandIn } from "./vm-list-stand-in.js";

const decodeVms = Schema.decodeUnknownSync(Schema.Array(ListedVm), { onExcessProperty: "error" });

const command = new Command("vm-list-stand-in")
    .description("Runs the stand-in for the VM list on 127.0.0.1 and prints its address as one line of JSON.")
    .option("--port <number>", "port to listen on; 0 selects a free port", Number, 0)
    .option("--vms <json>", "initial VMs, which a lagging list also returns for any earlier time", "[]")
    .option("--until-stdin-ends", "stop when standard input ends, which it does when the parent process dies")
    .action(async (opts: { port: number; vms: string; untilStdinEnds?: true; }) => {
        const vmList = await VmListStandIn.start({ port: opts.port, vms: decodeVms(JSON.parse(opts.vms)) });
        const stop = () => void vmList.close().then(() => process.exit(0));
        process.once("SIGTERM", stop).once("SIGINT", stop);
        if (opts.untilStdinEnds) {
            process.stdin.once("close", stop).resume();
        }
        console.log(JSON.stringify({ address: vmList.address }));
    });
await command.parseAsync();
