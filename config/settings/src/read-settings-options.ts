/** Options of {@link readDaemonSettings} and {@link readToolSettings}. */
export interface ReadSettingsOptions {
    /** File name to show in error messages. */
    readonly file: string;
}
