interface PublishIdParts {
    readonly version: number;
    readonly isRestart: boolean;
    readonly uniqueId: string;
}

const PATTERN = /^(r?)([1-9]\d{0,14})-([\x21-\x7e]{1,150})$/;

/**
 * A publish id holds the version it is for. A resumed run therefore appends exactly the same record, and cannot take
 * effect a second time even when retention has removed the first copy.
 */
export const publishId = {
    format: (parts: PublishIdParts): string => `${parts.isRestart ? "r" : ""}${parts.version}-${parts.uniqueId}`,
    parse: (text: string): PublishIdParts | undefined => {
        const [, restart, version, uniqueId] = PATTERN.exec(text) ?? [];
        return version === undefined || uniqueId === undefined
            ? undefined
            : { version: Number(version), isRestart: restart === "r", uniqueId };
    },
} as const;
