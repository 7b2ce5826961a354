import { checkYaml, field } from "@marigoldstall/config.schema";
import type { InvalidFileError, ValueProblem } from "@marigoldstall/config.schema";
import * as Schema from "effect/Schema";
import type { Result } from "neverthrow";
import { controlKeyField } from "./control-key-field.js";
import type { DaemonSettings } from "./daemon-settings.js";
import { DEFAULT_REQUEST_LIMITS } from "./default-request-limits.js";
import { DEFAULT_STOP_NOTICE_MS } from "./default-stop-notice-ms.js";
import type { ReadSettingsOptions } from "./read-settings-options.js";

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

const optionalInteger = (minimum: number, maximum: number, unit?: string) =>
    Schema.optionalKey(field.integer(unit === undefined ? { minimum, maximum } : { minimum, maximum, unit }));

const daemonSettingsSchema = field.struct({
    vm: field.struct({ id: field.name, region: field.name, availabilityZone: field.name }),
    listen: field.struct({ caller: field.address, control: field.address, operator: field.address }),
    platform: field.struct({
        log: field.address,
        vmList: field.address,
        logRetentionMs: field.integer({ minimum: 1000, maximum: 366 * DAY_MS, unit: "ms" }),
    }),
    security: field.struct({ controlKey: controlKeyField }),
    limits: Schema.optionalKey(field.struct({
        headerBytes: optionalInteger(1024, 1_048_576, "bytes"),
        bufferedBodyBytes: optionalInteger(0, 16_777_216, "bytes"),
        bodyTimeoutMs: optionalInteger(100, HOUR_MS, "ms"),
        connectionsPerCallerAddress: optionalInteger(1, 100_000),
        // A backend server accepts about 200 connections from all daemons together.
        connectionsPerBackendServer: optionalInteger(1, 200),
        requestsInFlight: optionalInteger(1, 1_000_000),
        defaultDeadlineMs: optionalInteger(1, HOUR_MS, "ms"),
    })),
    stop: Schema.optionalKey(field.struct({ noticeMs: optionalInteger(0, HOUR_MS, "ms") })),
});

const findDuplicateAddresses = (
    settings: { readonly listen: DaemonSettings["listen"]; },
): readonly ValueProblem[] => {
    const entries = Object.entries(settings.listen);
    return entries.flatMap(([key, address], index) => {
        const other = entries.slice(0, index).find(([, earlier]) => earlier === address);
        return other === undefined
            ? []
            : [{ path: ["listen", key], message: `expected another address than listen.${other[0]}` }];
    });
};

/** Parses and validates the settings of `marigoldstalld`. The error lists every problem with line and key. */
export const readDaemonSettings = (
    text: string,
    opts: ReadSettingsOptions,
): Result<DaemonSettings, InvalidFileError> =>
    checkYaml(text, {
        file: opts.file,
        code: "SETTINGS_INVALID",
        step: "read daemon settings",
        hint: "correct the file; docs/operators.md lists every key",
        schema: daemonSettingsSchema,
        crossCheck: findDuplicateAddresses,
        secretKeys: ["controlKey"],
    }).map(settings => ({
        ...settings,
        limits: { ...DEFAULT_REQUEST_LIMITS, ...settings.limits },
        stop: { noticeMs: DEFAULT_STOP_NOTICE_MS, ...settings.stop },
    }));
