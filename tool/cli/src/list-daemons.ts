import { MarigoldstallError } from "@marigoldstall/core.error";
import type { Vm } from "@marigoldstall/core.types";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CommandFailure } from "./command-failure.js";
import type { Connections } from "./connections.js";
import { ExitCode } from "./exit-code.js";

const ENTRY_ROLE = "entry";

/** Lists the live entry VMs, sorted by VM id. VMs that are leaving no longer need a configuration. */
export const listDaemons = async (connections: Connections): Promise<Result<readonly Vm[], CommandFailure>> => {
    const list = await connections.vmList.read();
    if (list.isErr()) {
        return err({ exitCode: ExitCode.Unreachable, error: list.error });
    }
    const daemons = list.value.vms.filter(vm => vm.role === ENTRY_ROLE && vm.state === "live");
    if (daemons.length === 0) {
        const error = new MarigoldstallError({
            code: "NO_DAEMONS",
            message: "the VM list contains no live entry VM",
            step: "list the daemons",
            hint: "check platform.vmList in the settings, and that the entry VMs are running",
        });
        return err({ exitCode: ExitCode.Unreachable, error });
    }
    return ok([...daemons].sort((left, right) => left.vmId < right.vmId ? -1 : 1));
};
