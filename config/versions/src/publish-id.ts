interface PublishIdParts {
    readonly version: number;
    readonly isRestart: boolean;
    readonly uniqueId: string;
}

const PUBLISH_ID_PATTERN = /^(r?)([1-9]\d{0,14})-([\x21-\x7e]{1,150})$/;

/**
 * A publish id contains the version to publish. A resumed run therefore appends an identical record, which cannot take
 * effect a second time, even if retention has removed the first copy.
 */
export const publishId = {
    format: (parts: PublishIdParts): string => `${parts.isRestart ? "r" : ""}${parts.version}-${parts.uniqueId}`,
    parse: (text: string): PublishIdParts | undefined => {
        const [, restart, version, uniqueId] = PUBLISH_ID_PATTERN.exec(text) ?? [];
        return version === undefined || uniqueId === undefined
            ? undefined
            : { version: Number(version), isRestart: restart === "r", uniqueId };
    },
} as const;
