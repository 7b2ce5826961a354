/** Settings of the command-line tool. Addresses are IP numbers with a port. */
export interface ToolSettings {
    readonly operator: { readonly name: string; };
    readonly platform: { readonly log: string; readonly vmList: string; };
    readonly security: { readonly controlKey: string; };
}
