import { MarigoldstallError } from "@marigoldstall/core.error";
import type { AcceptedConfiguration } from "@marigoldstall/core.types";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CommandFailure } from "./command-failure.js";
import type { Connections } from "./connections.js";
import { ExitCode } from "./exit-code.js";
import { listDaemons } from "./list-daemons.js";
import { readConfigurationStream } from "./read-configuration-stream.js";

interface CurrentConfiguration {
    readonly configuration: AcceptedConfiguration | undefined;
    readonly source: "log" | "daemons";
}

const fetchNewestFromDaemons = async (connections: Connections): Promise<AcceptedConfiguration | undefined> => {
    const daemons = await listDaemons(connections);
    if (daemons.isErr()) {
        return undefined;
    }
    const responses = await Promise.all(daemons.value.map(vm => connections.daemons.fetchConfiguration(vm.address)));
    return responses
        .flatMap(answer => answer.isOk() && answer.value !== undefined ? [answer.value] : [])
        .sort((left, right) => right.version - left.version)[0];
};

/** Reads the newest accepted version from the log, or from the daemons if the log is unavailable or incomplete. */
export const readCurrentConfiguration = async (
    connections: Connections,
): Promise<Result<CurrentConfiguration, CommandFailure>> => {
    const stream = await readConfigurationStream(connections.log);
    if (stream.isOk() && stream.value.fold.isComplete) {
        return ok({ configuration: stream.value.fold.accepted, source: "log" });
    }
    const configuration = await fetchNewestFromDaemons(connections);
    if (configuration !== undefined) {
        return ok({ configuration, source: "daemons" });
    }
    const error = stream.isErr() ? stream.error : new MarigoldstallError({
        code: "CONFIGURATION_HISTORY_LOST",
        message: "the log contains neither a version nor a snapshot, and no daemon returned a configuration",
        step: "read the current configuration",
        hint: "publish the targets again",
    });
    return err({ exitCode: ExitCode.Unreachable, error });
};
