/** Result of a run of the command-line tool. */
export interface ToolResult {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}
