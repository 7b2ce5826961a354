import type { CommandDefinition } from "./command-definition.js";
import { check } from "./commands/check.js";
import { explain } from "./commands/explain.js";
import { status } from "./commands/status.js";
import { targetsDiff } from "./commands/targets-diff.js";
import { targetsHistory } from "./commands/targets-history.js";
import { targetsPublish } from "./commands/targets-publish.js";
import { targetsShow } from "./commands/targets-show.js";
import { targetsValidate } from "./commands/targets-validate.js";

/** Commands of the tool, in the order of the `--help` output. */
export const COMMANDS: readonly CommandDefinition[] = [
    check,
    targetsValidate,
    targetsDiff,
    targetsPublish,
    targetsShow,
    targetsHistory,
    status,
    explain,
];
