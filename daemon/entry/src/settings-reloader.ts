import { formatError, type MarigoldstallError } from "@marigoldstall/core.error";
import type { EntrySettings } from "@marigoldstall/core.types";
import type { Result } from "neverthrow";
import type { JsonLogger } from "./json-logger.js";
import { selectChangedSettings } from "./select-changed-settings.js";

interface SettingsReloaderOptions {
    /** The settings with which the daemon runs. */
    readonly settings: EntrySettings;
    readonly read: () => Promise<Result<EntrySettings, MarigoldstallError>>;
    readonly log: Pick<JsonLogger, "write">;
}

/** Logs which settings have changed. They hold addresses and machine limits, which take effect at the next start. */
export class SettingsReloader {
    private readonly opts: SettingsReloaderOptions;
    private isDue = false;
    private isReading = false;

    constructor(opts: SettingsReloaderOptions) {
        this.opts = opts;
    }

    /** Reads the settings. All calls that come while they are read lead to one more read. */
    async reload(): Promise<void> {
        this.isDue = true;
        if (this.isReading) {
            return;
        }
        this.isReading = true;
        while (this.isDue) {
            this.isDue = false;
            this.report(await this.opts.read());
        }
        this.isReading = false;
    }

    private report(read: Result<EntrySettings, MarigoldstallError>): void {
        const { settings, log } = this.opts;
        read.match(
            current => {
                const changed = selectChangedSettings(settings, current);
                log.write("reload-ignored", { reason: "no setting changes without a restart", changed });
            },
            error => {
                log.write("reload-failed", { problem: formatError(error) });
            },
        );
    }
}
