import { err, ok } from "neverthrow";
import type { CommandDefinition } from "../command-definition.js";
import { ExitCode } from "../exit-code.js";
import { listDaemons } from "../list-daemons.js";
import type { LoggedDecision } from "../logged-decision.js";
import { usageFailure } from "../usage-failure.js";

interface VmDecision extends LoggedDecision {
    readonly vmId: string;
}

const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,200}$/;

const describeDecision = ({ vmId, wallMs, concern, decision }: VmDecision): string => {
    const time = new Date(wallMs).toISOString();
    const place = [decision.service, decision.className].filter(part => part !== undefined).join("/");
    const choice = decision.choice === undefined ? "" : ` -> ${decision.choice}`;
    const candidates = decision.candidates.length === 0 ? "" : ` [of ${decision.candidates.join(", ")}]`;
    return `${time} ${vmId} ${concern} ${decision.kind}${
        place === "" ? "" : ` ${place}`
    }${choice}: ${decision.reason}${candidates}`;
};

/** `explain REQUEST_ID` */
export const explain: CommandDefinition = {
    name: "explain",
    help: "Lists the decisions of all daemons about a request, in time order. Daemons keep the most recent ones only.",
    arguments: [{ name: "REQUEST_ID", help: "value of the response header Request-Id" }],
    options: [],
    handler: async (context, input) => {
        const requestId = input.arguments[0] ?? "";
        if (!REQUEST_ID_PATTERN.test(requestId)) {
            return err(usageFailure("REQUEST_ID has 1 to 200 printable ASCII characters"));
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
        const answers = await Promise.all(vms.value.map(async vm => ({
            vmId: vm.vmId,
            decisions: await daemons.explain(vm.address, { requestId }),
        })));
        const errors = answers.flatMap(({ vmId, decisions }) =>
            decisions.isErr() ? [{ vmId, error: decisions.error }] : []
        );
        const [firstError] = errors;
        if (errors.length === answers.length && firstError !== undefined) {
            return err({ exitCode: ExitCode.Unreachable, error: firstError.error });
        }
        const found: readonly VmDecision[] = answers
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
                    ? [`no daemon holds a decision about ${requestId}; the request may be too old`]
                    : found.map(describeDecision),
                ...errors.map(({ vmId, error }) => `${vmId} gave no answer: ${error.code} ${error.message}`),
            ],
        });
    },
};
