import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { stringify } from "yaml";
import type { SiteDaemon } from "./site-daemon.js";

interface PlatformSettings {
    readonly log: string;
    readonly vmList: string;
}

/** Writes the settings files of the daemons and the command-line tool. Returns the path of the tool's settings file. */
export const writeSettings = (
    directory: string,
    opts: {
        readonly daemons: readonly SiteDaemon[];
        readonly region: string;
        readonly platform: PlatformSettings;
        readonly logRetentionMs: number;
        readonly controlKey: string;
        readonly stopNoticeMs: number;
    },
): string => {
    const { platform, controlKey } = opts;
    for (const daemon of opts.daemons) {
        writeFileSync(
            daemon.settingsFile,
            stringify({
                vm: { id: daemon.vmId, region: opts.region, availabilityZone: daemon.availabilityZone },
                listen: {
                    caller: daemon.callerAddress,
                    control: daemon.controlAddress,
                    operator: daemon.operatorAddress,
                },
                platform: { ...platform, logRetentionMs: opts.logRetentionMs },
                security: { controlKey },
                stop: { noticeMs: opts.stopNoticeMs },
            }),
            { mode: 0o600 },
        );
    }
    const toolFile = join(directory, "marigoldstall.yaml");
    writeFileSync(toolFile, stringify({ operator: { name: "demo" }, platform, security: { controlKey } }), {
        mode: 0o600,
    });
    return toolFile;
};
