/** Generates the blocks of docs/METRICS.md, by block name. */
import { metricDefinitions, type MetricDefinition } from '../metrics.js';
import { formatMarkdownTable } from './formatMarkdownTable.js';
import { describeUnusedNames } from './unusedNames.js';

function describeLabel({ label }: MetricDefinition): string {
  return label === undefined ? '' : `\`${label.name}\``;
}

export function describeMetrics(): Record<string, string> {
  const definitions: readonly MetricDefinition[] = Object.values(metricDefinitions);
  const metrics = definitions.map((definition) => [
    `\`${definition.name}\``,
    definition.kind,
    describeLabel(definition),
    definition.help,
  ]);
  const values = definitions.flatMap((definition) =>
    (definition.label?.values ?? []).map((value) => [
      `\`${definition.name}\``,
      describeLabel(definition),
      `\`${value}\``,
    ]),
  );
  return {
    metrics: formatMarkdownTable(['name', 'kind', 'label', 'meaning'], metrics),
    'label values': formatMarkdownTable(['name', 'label', 'value'], values),
    'values not counted yet': describeUnusedNames(
      definitions.flatMap(({ label }) => label?.values ?? []),
    ),
  };
}
