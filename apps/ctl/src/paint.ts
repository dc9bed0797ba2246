/** Colours text if the output is a terminal and `NO_COLOR` is unset or empty. */

/** Select-graphic-rendition codes of ECMA-48. */
const colourCodes = { red: 31, green: 32, yellow: 33 } as const;
const DEFAULT_COLOUR_CODE = 39;

export type Colour = keyof typeof colourCodes;

export type Paint = (colour: Colour, text: string) => string;

export const leaveUncoloured: Paint = (_colour, text) => text;

/** The text must be complete without colours, because a log or a pipe has none. */
export function choosePaint(isTerminal: boolean, noColor: string | undefined): Paint {
  const isPlain = !isTerminal || (noColor !== undefined && noColor !== '');
  return isPlain
    ? leaveUncoloured
    : (colour, text) => `\u001b[${colourCodes[colour]}m${text}\u001b[${DEFAULT_COLOUR_CODE}m`;
}
