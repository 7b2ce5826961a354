/** Options of {@link readDaemonSettings} and {@link readToolSettings}. */
export interface ReadSettingsOptions {
    /** Name of the file that the text comes from, for messages. */
    readonly file: string;
}
