import {createMetricsPage} from './metrics_page.js';
import {createSettingsPage} from './settings_page.js';

/** Renderers of the pages generated from tables in the code, by path. */
export const REFERENCE_PAGE_REGISTRY: Readonly<Record<string, () => string>> = {
  'docs/SETTINGS.md': createSettingsPage,
  'docs/METRICS.md': createMetricsPage,
};
