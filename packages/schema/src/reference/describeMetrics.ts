/** The tables of docs/METRICS.md. */
import { metricDefinitions, type MetricDefinition } from '../metrics.js';
import { markdownTable } from './markdownTable.js';
import { describeNotRaised } from './notRaisedYet.js';

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
    metrics: markdownTable(['name', 'kind', 'label', 'meaning'], metrics),
    'label values': markdownTable(['name', 'label', 'value'], values),
    'values not counted yet': describeNotRaised(
      definitions.flatMap(({ label }) => label?.values ?? []),
    ),
  };
}
