import { err, ok } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import { createUsageFailure } from "../create-usage-failure.js";
import { ExitCode } from "../exit-code.js";
import { listDaemons } from "../list-daemons.js";
import type { LoggedDecision } from "../logged-decision.js";

interface DaemonDecision extends LoggedDecision {
    readonly vmId: string;
}

const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,200}$/;

const describeDecision = ({ vmId, wallMs, concern, decision }: DaemonDecision): string => {
    const time = new Date(wallMs).toISOString();
    const subject = [decision.service, decision.className].filter(part => part !== undefined).join("/");
    const choice = decision.choice === undefined ? "" : ` -> ${decision.choice}`;
    const candidates = decision.candidates.length === 0 ? "" : ` [of ${decision.candidates.join(", ")}]`;
    return `${time} ${vmId} ${concern} ${decision.kind}${
        subject === "" ? "" : ` ${subject}`
    }${choice}: ${decision.reason}${candidates}`;
};

/** The `explain REQUEST_ID` command. */
export const explain: CommandDefinition = {
    name: "explain",
    help:
        "Lists the decisions of all daemons about a request in chronological order. Daemons keep only recent decisions.",
    arguments: [{ name: "REQUEST_ID", help: "value of the response header Request-Id" }],
    options: [],
    handler: async (context, input) => {
        const requestId = input.arguments[0] ?? "";
        if (!REQUEST_ID_PATTERN.test(requestId)) {
            return err(createUsageFailure("REQUEST_ID must be 1 to 200 printable ASCII characters without spaces"));
        }
        const connections = await context.connect();
        if (connections.isErr()) {
            return err(connections.error);
        }
        const { daemons } = connections.value;
        const vms = await listDaemons(connections.value);
        if (vms.isErr()) {
            return err(vms.error);
        }
        const responses = await Promise.all(vms.value.map(async vm => ({
            vmId: vm.vmId,
            decisions: await daemons.explain(vm.address, { requestId }),
        })));
        const errors = responses.flatMap(({ vmId, decisions }) =>
            decisions.isErr() ? [{ vmId, error: decisions.error }] : []
        );
        const [firstError] = errors;
        if (errors.length === responses.length && firstError !== undefined) {
            return err({ exitCode: ExitCode.Unreachable, error: firstError.error });
        }
        const found: readonly DaemonDecision[] = responses
            .flatMap(({ vmId, decisions }) =>
                decisions.isOk() ? decisions.value.map(entry => ({ vmId, ...entry })) : []
            )
            .sort((left, right) => left.wallMs - right.wallMs);
        return ok({
            exitCode: ExitCode.Success,
            json: {
                requestId,
                decisions: found,
                unreachable: errors.map(({ vmId, error }) => ({ vmId, code: error.code, message: error.message })),
            },
            lines: [
                ...found.length === 0
                    ? [`no daemon has a decision about ${requestId}; the request may be too old`]
                    : found.map(describeDecision),
                ...errors.map(({ vmId, error }) => `${vmId}: decisions unavailable, ${error.code} ${error.message}`),
            ],
        });
    },
};
