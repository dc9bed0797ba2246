/** Colours, used only where the output is a terminal and `NO_COLOR` is not set. */

/** Select-graphic-rendition codes of ECMA-48. */
const codes = { red: 31, green: 32, yellow: 33 } as const;
const RESET_CODE = 39;

export type Colour = keyof typeof codes;

export type Paint = (colour: Colour, text: string) => string;

export const paintNothing: Paint = (_colour, text) => text;

/** What colours are used for is in the words as well, so that a log loses nothing. */
export function choosePaint(isTerminal: boolean, noColor: string | undefined): Paint {
  const plain = !isTerminal || (noColor !== undefined && noColor !== '');
  return plain
    ? paintNothing
    : (colour, text) => `\u001b[${codes[colour]}m${text}\u001b[${RESET_CODE}m`;
}
