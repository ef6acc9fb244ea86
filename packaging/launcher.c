/* Starts the interpreter that is linked in, with this very file as the only
 * place to import from. The archive of modules is appended to the file. */
#include <Python.h>
#include <dlfcn.h>
#include <unistd.h>

/* Loads a shared library so that native modules find its symbols. */
static PyObject *load_library(PyObject *self, PyObject *path) {
    const char *name = PyUnicode_AsUTF8(path);
    if (name == NULL) return NULL;
    if (dlopen(name, RTLD_NOW | RTLD_GLOBAL) == NULL)
        return PyErr_Format(PyExc_ImportError, "%s", dlerror());
    Py_RETURN_NONE;
}

static PyMethodDef methods[] = {
    {"load_library", load_library, METH_O, "Loads a shared library."}, {0}};
static struct PyModuleDef module = {
    PyModuleDef_HEAD_INIT, "_launcher", NULL, -1, methods};
static PyObject *init_launcher(void) { return PyModule_Create(&module); }

int main(int argc, char **argv) {
    static wchar_t path[4096];
    char self[4096];
    ssize_t length = readlink("/proc/self/exe", self, sizeof self - 1);
    if (length < 0) return 127;
    self[length] = 0;
    mbstowcs(path, self, 4095);
    PyImport_AppendInittab("_launcher", init_launcher);
    PyPreConfig before;
    PyPreConfig_InitIsolatedConfig(&before);
    before.utf8_mode = 1;
    Py_PreInitialize(&before);
    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    config.parse_argv = 0;
    config.site_import = 0;
    config.write_bytecode = 0;
    config.module_search_paths_set = 1;
    PyWideStringList_Append(&config.module_search_paths, path);
    PyConfig_SetString(&config, &config.executable, path);
    PyConfig_SetString(&config, &config.run_module, L"_bootstrap");
    PyConfig_SetBytesArgv(&config, argc, argv);
    PyStatus status = Py_InitializeFromConfig(&config);
    if (PyStatus_Exception(status)) Py_ExitStatusException(status);
    return Py_RunMain();
}
